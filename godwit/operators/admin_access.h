#pragma once

// Who may do what on the operators' interface, as a pure decision.
//
// Example:
//   const auto who = identify(site.get(), digest, bootstrapDigest, wallNow);
//   if (auto refusal = checkPatch(*who, patch.path)) { answer(*refusal); }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/config/site_config.h"

#include <optional>
#include <string>

namespace Godwit
{

struct AdminIdentity
{
    std::string name; // Written into history and the audit log.
    OperatorRole role = OperatorRole::Customer;
    CustomerId customer; // Empty for owners.
};

// Returns who holds the token with this SHA-256 digest. `bootstrapDigest` opens a fleet that has no owner's token
// yet, and nothing else: once the configuration names an owner it is worthless.
std::optional<AdminIdentity> identify(const SiteConfig *site,
                                      const std::string &digest,
                                      const std::string &bootstrapDigest,
                                      WallTime now);

// Each returns why the identity may not, or nothing.
std::optional<Error> checkOwner(const AdminIdentity &who);
std::optional<Error> checkCustomer(const AdminIdentity &who, const CustomerId &customer);
// A customer's operator may change its customer's keys; everything else is the owners'.
std::optional<Error> checkPatch(const AdminIdentity &who, const std::string &site, const std::string &path);

} // namespace Godwit
