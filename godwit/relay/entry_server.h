#pragma once

// Answers where to connect and whether this router is ready, on the addresses that the settings name.
//
// Example:
//   EntryServer entry(io, [](const EntryQuestion &question) { return EntryAnswer{200, body}; });
//   entry.listen("10.0.0.4:8746", reason);

#include "godwit/relay/listener.h"
#include "platform/http_codec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

struct EntryAnswer
{
    unsigned status = 404;
    std::string body;
    std::string contentType = "application/json";
};

class EntryServer
{
public:
    using Answer = std::function<EntryAnswer(const std::string &method, const std::string &target)>;

    EntryServer(boost::asio::io_context &io, Answer answer);

    // Several addresses may be served.
    bool listen(const std::string &address, LastReason &reason);
    void close();

private:
    boost::asio::io_context &m_io;
    Answer m_answer;
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

} // namespace Godwit
