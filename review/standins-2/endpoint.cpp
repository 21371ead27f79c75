#include "endpoint.h"

#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace Review
{
namespace
{

constexpr int IdleTimeoutMs = 30'000;
constexpr int Slots = 64;

} // namespace

std::string sealedResponse(const HttpMessage &request,
                           const std::string &body,
                           const std::string &status,
                           const std::string &fields)
{
    const std::string attempt = fieldOf(request, "X-Attempt-Id");
    return formatResponse(
        status, "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: seal." + attempt + "\r\n" + fields, body);
}

Endpoint::Endpoint(std::string id, std::string service, Respond respond)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_respond(std::move(respond))
    , m_port(freePort())
{
}

void Endpoint::start()
{
    std::thread([this] {
        const Socket listener = listenOn(m_port);
        while (listener.isOpen()) {
            Socket socket = acceptFrom(listener);
            if (socket.isOpen()) {
                std::thread(&Endpoint::serve, this, std::move(socket)).detach();
            }
        }
    }).detach();
}

std::string Endpoint::entry() const
{
    return nlohmann::json{{"Service", m_service},
                          {"Address", "127.0.0.1:" + std::to_string(m_port)},
                          {"Zone", "hall"},
                          {"Version", "v1"},
                          {"Slots", Slots},
                          {"State", "ready"},
                          {"ColdRemainingMs", 0},
                          {"Sequence", 1}}
        .dump();
}

int Endpoint::runs(const std::string &attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(attempt);
    return found == m_runs.end() ? 0 : found->second;
}

std::vector<std::string> Endpoint::ran()
{
    const std::lock_guard lock(m_mutex);
    return m_ran;
}

void Endpoint::serve(Socket socket)
{
    while (const auto request = readRequest(socket, IdleTimeoutMs)) {
        if (!answer(socket, *request)) {
            return;
        }
    }
}

bool Endpoint::answer(Socket &socket, const HttpMessage &request)
{
    if (targetOf(request) == "/health") {
        return sendAll(socket, formatResponse("200 OK", "X-Replica-Id: " + m_id + "\r\n", ""));
    }
    if (targetOf(request) == "/report" && !m_report.empty()) {
        return sendAll(socket, formatResponse("200 OK", "Content-Type: application/json\r\n", m_report));
    }
    const std::string attempt = fieldOf(request, "X-Attempt-Id");
    if (attempt.empty()) {
        return sendAll(socket, formatResponse("400 Bad Request", "X-Not-Executed: 1\r\n", ""));
    }
    if (const std::string expected = fieldOf(request, "X-Expect-Instance"); !expected.empty() && expected != m_id) {
        return sendAll(socket, formatResponse("421 Misdirected", "X-Attempt-Id: " + attempt + "\r\n", ""));
    }
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[attempt];
        m_ran.push_back(request.startLine + " id " + attempt);
    }
    return m_respond(socket, request);
}

} // namespace Review
