#pragma once

// Stand-in of a replica: counts the runs of each request, and leaves the response to the case. One thread a connection.
//
// Example:
//   Endpoint endpoint("i-1", "booking", [](Socket &socket, const HttpMessage &request) {
//       return sendAll(socket, sealedResponse(request, "done"));
//   });
//   store.put("servers/i-1", endpoint.entry());

#include "sockets.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review
{

// Response with the seal and the id of the request.
std::string sealedResponse(const HttpMessage &request,
                           const std::string &body,
                           const std::string &status = "200 OK",
                           const std::string &fields = {});

class Endpoint
{
public:
    // Responds to a request that runs; false ends the connection.
    using Respond = std::function<bool(Socket &socket, const HttpMessage &request)>;

    Endpoint(std::string id, std::string service, Respond respond);

    void start();
    // Answer of an engine to `GET /report`; without it, the endpoint is a plain service, which has none.
    void setReport(std::string report)
    {
        m_report = std::move(report);
    }
    // The value of the entry by which the endpoint registers itself in the store.
    std::string entry() const;
    std::string key() const
    {
        return "servers/" + m_id;
    }
    int runs(const std::string &attempt);
    // The requests that ran, in order: their start lines and ids.
    std::vector<std::string> ran();

private:
    void serve(Socket socket);
    bool answer(Socket &socket, const HttpMessage &request);

    std::string m_id;
    std::string m_service;
    Respond m_respond;
    std::string m_report;
    int m_port;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::vector<std::string> m_ran;
};

} // namespace Review
