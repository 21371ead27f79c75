#include "site.h"

#include <nlohmann/json.hpp>

namespace Review
{
namespace
{

using nlohmann::json;

json route(const char *name, const char *prefix, const char *kind, int attempts, int timeoutMs)
{
    return {{"Name", name},
            {"Host", SiteHost},
            {"PathPrefix", prefix},
            {"Kind", kind},
            {"TimeoutMs", timeoutMs},
            {"TargetLatencyMs", 300},
            {"Priority", 0},
            {"Service", "booking"},
            {"Attempts", attempts},
            {"Public", false},
            {"Sticky", false},
            {"Resumable", false}};
}

} // namespace

std::string siteDocument(int version, int timeoutMs)
{
    return json{{"Version", version},
                {"Routes",
                 {route("read", "/read/", "idempotent", 2, timeoutMs),
                  route("book", "/book/", "non_idempotent", 1, timeoutMs)}},
                {"Services",
                 {{{"Name", "booking"},
                   {"HealthPath", "/health"},
                   {"MaxConnections", 500},
                   {"Protocol", "h1"},
                   {"Tls", false}}}},
                {"Limits",
                 {{"MaxHeaderBytes", MaxHeaderBytes},
                  {"MaxBodyBytes", 4194304},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", IdleTimeoutMs}}},
                {"Tenants", {{{"Name", "anna"}, {"ApiKeys", {SiteKey}}, {"Priority", 1}, {"Prepaid", 1000000}}}}}
        .dump();
}

std::string requestHead(const std::string &method, const std::string &target, const std::string &attempt)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: " + SiteHost + "\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Time-Remaining-Ms: 4000\r\nX-Api-Key: " + SiteKey + "\r\n";
}

} // namespace Review
