#pragma once

// The operators' interface: requests in, JSON out. Transport is admin_server.h's.
//
//   GET  /healthz /readyz /metrics                        no token
//   GET  /admin/v1/status /routers /customers /routes /endpoints
//   GET  /admin/v1/config?site=S&path=P                   text of base, overlay or one path, with the revision
//   GET  /admin/v1/config/history
//   POST /admin/v1/config/patches                         {"id","site","path","value","expected_revision"}
//   PUT  /admin/v1/budgets/<id>                           {"customer","prepaid","operation"}
//   GET  /admin/v1/budgets/<id>
//   POST /admin/v1/budgets/<id>/top-ups | /reductions     {"operation","amount"}
//   POST /admin/v1/ledgers/<incarnation>/resolve-doubt
//   POST /admin/v1/drain
//
// Every write names its own id, so that repeating it after a lost answer counts once.
//
// Example:
//   AdminApi api(environment);
//   api.handle(request, [](AdminResponse response) { ... });
//
// Not thread-safe: runs on the control thread.

#include "godwit/kernel/kernel.h"
#include "godwit/operators/admin_access.h"
#include "godwit/operators/metrics.h"
#include "godwit/platform/platform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Godwit
{

struct AdminRequest
{
    std::string method;
    std::string target;
    std::string tokenDigest; // SHA-256 of the bearer token; empty without one.
    std::string body;
};

struct AdminResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::optional<Duration> retryAfter;
};

using AdminReply = std::function<void(AdminResponse)>;

// What the interface works on. All functions are called on the control thread.
struct AdminEnvironment
{
    Platform &platform;
    std::function<const Kernel &()> kernel;
    std::function<void(KernelEvent)> post;
    std::function<std::string()> metricsText;
    // One audited change: who, what, and how it went.
    std::function<void(const std::string &who, const std::string &what, const std::string &outcome)> audit;
    std::string bootstrapDigest;
};

class AdminApi
{
public:
    explicit AdminApi(AdminEnvironment environment);

    // Answers `request`, at once or later, exactly once.
    void handle(const AdminRequest &request, const AdminReply &reply);

    // The kernel's answer to a patch.
    void onChangeAnswered(const ChangeAnswered &answered);

private:
    struct Context;

    void handleAdmin(const Context &context, const AdminReply &reply);
    void handleRead(const Context &context, const AdminReply &reply);
    void handleConfig(const Context &context, const AdminReply &reply);
    void handlePatch(const Context &context, const AdminReply &reply);
    void handleBudget(const Context &context, const AdminReply &reply);
    void changeBudget(const Context &context, const std::string &kind, const AdminReply &reply);
    void showOneBudget(const Context &context, const AdminReply &reply);
    void handleResolveDoubt(const Context &context, const AdminReply &reply);

    AdminEnvironment m_environment;
    std::map<std::uint64_t, AdminReply> m_waitingPatches;
    std::uint64_t m_nextTicket = 1;
};

} // namespace Godwit
