#pragma once

// The configuration of a small site, as its operator writes it: one service, one tenant, and the limits that the users'
// pages show in their example.

#include <string>

namespace Review
{

constexpr const char *SiteHost = "desk.example";
constexpr const char *SiteKey = "secret-of-anna";
constexpr int MaxHeaderBytes = 16384;
constexpr int IdleTimeoutMs = 15000;

// Routes /read/ (idempotent) and /book/ (not idempotent) to the service "booking". `timeoutMs` is that of both routes.
std::string siteDocument(int version, int timeoutMs);

// The head of a request of the tenant, without the blank line that ends it.
std::string requestHead(const std::string &method, const std::string &target, const std::string &attempt);

} // namespace Review
