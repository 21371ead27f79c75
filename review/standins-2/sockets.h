#pragma once

// Blocking TCP sockets on the loopback interface, and the HTTP/1.1 messages that the stand-ins of this review exchange.
//
// Example:
//   Socket socket = connectTo("127.0.0.1:8740");
//   sendAll(socket, "GET /read/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n");
//   const auto response = readResponse(socket, 2000);

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Review
{

// Owns a descriptor, with the bytes that were read and not used yet.
class Socket
{
public:
    explicit Socket(int descriptor = -1);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    int descriptor() const
    {
        return m_descriptor;
    }
    std::string &buffer()
    {
        return m_buffer;
    }
    void close();
    // Closes with a reset instead of an orderly end.
    void reset();

private:
    int m_descriptor;
    std::string m_buffer;
};

struct HttpMessage
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

// Value of the first field of this name; empty if there is none.
std::string fieldOf(const HttpMessage &message, const std::string &name);

// Status of a response; 0 if the start line has none.
int statusOf(const HttpMessage &response);

// The target of a request.
std::string targetOf(const HttpMessage &request);

// Value of a parameter of the target's query, decoded.
std::string queryOf(const std::string &target, const std::string &name);

// Returns an unused port of the loopback interface.
int freePort();

Socket listenOn(int port);
Socket acceptFrom(const Socket &listener);
Socket connectTo(const std::string &address);

bool sendAll(Socket &socket, const std::string &bytes);

// Reads more bytes into the buffer. Returns false at the end of the connection, after an error, or after `timeoutMs`.
bool readMore(Socket &socket, int timeoutMs);

// Reads a message with its body. Nullopt if the connection ended before, or nothing arrived for `timeoutMs`.
std::optional<HttpMessage> readRequest(Socket &socket, int timeoutMs);
std::optional<HttpMessage> readResponse(Socket &socket, int timeoutMs);

std::string formatResponse(const std::string &status, const std::string &fields, const std::string &body);

} // namespace Review
