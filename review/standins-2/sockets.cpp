#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <strings.h>

namespace Review
{
namespace
{

constexpr std::size_t ReadBytes = 64UL * 1024;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool readUntil(Socket &socket, std::size_t size, int timeoutMs)
{
    while (socket.buffer().size() < size) {
        if (!readMore(socket, timeoutMs)) {
            return false;
        }
    }
    return true;
}

// Reads a line and removes it from the buffer.
std::optional<std::string> readLine(Socket &socket, int timeoutMs)
{
    std::size_t end = socket.buffer().find("\r\n");
    while (end == std::string::npos) {
        if (!readMore(socket, timeoutMs)) {
            return std::nullopt;
        }
        end = socket.buffer().find("\r\n");
    }
    std::string line = socket.buffer().substr(0, end);
    socket.buffer().erase(0, end + 2);
    return line;
}

bool readChunks(Socket &socket, HttpMessage &message, int timeoutMs)
{
    while (true) {
        const auto line = readLine(socket, timeoutMs);
        if (!line) {
            return false;
        }
        const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
        if (!readUntil(socket, size + 2, timeoutMs)) {
            return false;
        }
        if (size == 0) {
            socket.buffer().erase(0, 2);
            return true;
        }
        message.body += socket.buffer().substr(0, size);
        socket.buffer().erase(0, size + 2);
    }
}

std::optional<HttpMessage> readHead(Socket &socket, int timeoutMs)
{
    HttpMessage message;
    auto line = readLine(socket, timeoutMs);
    if (!line) {
        return std::nullopt;
    }
    message.startLine = *line;
    while ((line = readLine(socket, timeoutMs))) {
        if (line->empty()) {
            return message;
        }
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line->substr(0, colon),
                                    value == std::string::npos ? std::string() : line->substr(value));
    }
    return std::nullopt;
}

bool readBody(Socket &socket, HttpMessage &message, int timeoutMs)
{
    if (fieldOf(message, "Transfer-Encoding") == "chunked") {
        return readChunks(socket, message, timeoutMs);
    }
    const std::size_t size = std::strtoul(fieldOf(message, "Content-Length").c_str(), nullptr, 10);
    if (!readUntil(socket, size, timeoutMs)) {
        return false;
    }
    message.body = socket.buffer().substr(0, size);
    socket.buffer().erase(0, size);
    return true;
}

std::optional<HttpMessage> readMessage(Socket &socket, int timeoutMs)
{
    auto message = readHead(socket, timeoutMs);
    if (!message || !readBody(socket, *message, timeoutMs)) {
        return std::nullopt;
    }
    return message;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

} // namespace

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
    }
    return *this;
}

Socket::~Socket()
{
    close();
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void Socket::reset()
{
    const linger option{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
}

std::string fieldOf(const HttpMessage &message, const std::string &name)
{
    for (const auto &[key, value] : message.fields) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

int statusOf(const HttpMessage &response)
{
    const std::size_t blank = response.startLine.find(' ');
    return blank == std::string::npos ? 0 : std::atoi(response.startLine.c_str() + blank + 1);
}

std::string targetOf(const HttpMessage &request)
{
    const std::size_t begin = request.startLine.find(' ');
    const std::size_t end = request.startLine.rfind(' ');
    return begin == std::string::npos || end <= begin ? std::string()
                                                      : request.startLine.substr(begin + 1, end - begin - 1);
}

std::string queryOf(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.compare(0, name.size() + 1, name + '=') == 0) {
            return decodePercent(part.substr(name.size() + 1));
        }
        at = end;
    }
    return {};
}

int freePort()
{
    const Socket socket = listenOn(0);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

Socket listenOn(int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (::bind(socket.descriptor(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(socket.descriptor(), 512) != 0) {
        socket.close();
    }
    return socket;
}

Socket acceptFrom(const Socket &listener)
{
    return Socket(::accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
}

Socket connectTo(const std::string &address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in peer = loopback(std::atoi(address.c_str() + address.rfind(':') + 1));
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        socket.close();
        return socket;
    }
    const int on = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

bool sendAll(Socket &socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent = ::send(socket.descriptor(), bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

bool readMore(Socket &socket, int timeoutMs)
{
    pollfd entry{socket.descriptor(), POLLIN, 0};
    if (::poll(&entry, 1, timeoutMs) <= 0) {
        return false;
    }
    std::string bytes(ReadBytes, '\0');
    const ssize_t got = ::recv(socket.descriptor(), bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        return false;
    }
    socket.buffer().append(bytes, 0, static_cast<std::size_t>(got));
    return true;
}

std::optional<HttpMessage> readRequest(Socket &socket, int timeoutMs)
{
    return readMessage(socket, timeoutMs);
}

std::optional<HttpMessage> readResponse(Socket &socket, int timeoutMs)
{
    return readMessage(socket, timeoutMs);
}

std::string formatResponse(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace Review
