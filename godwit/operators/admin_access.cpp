#include "godwit/operators/admin_access.h"

#include <algorithm>

namespace Godwit
{
namespace
{

Error forbidden(const AdminIdentity &who, const std::string &what)
{
    return Error{ErrorKind::Forbidden, "token '" + who.name + "' may not " + what};
}

bool hasOwner(const SiteConfig *site)
{
    return site != nullptr && std::any_of(site->tokens.begin(), site->tokens.end(), [](const OperatorToken &token) {
               return token.role == OperatorRole::Owner;
           });
}

} // namespace

std::optional<AdminIdentity> identify(const SiteConfig *site,
                                      const std::string &digest,
                                      const std::string &bootstrapDigest,
                                      WallTime now)
{
    if (digest.empty()) {
        return std::nullopt;
    }
    if (site != nullptr) {
        if (const auto *token = tokenByDigest(*site, digest, now)) {
            return AdminIdentity{token->key.name, token->role, token->customer};
        }
    }
    if (!hasOwner(site) && digest == bootstrapDigest) {
        return AdminIdentity{"bootstrap", OperatorRole::Owner, CustomerId{}};
    }
    return std::nullopt;
}

std::optional<Error> checkOwner(const AdminIdentity &who)
{
    if (who.role == OperatorRole::Owner) {
        return std::nullopt;
    }
    return forbidden(who, "do this; it takes an owner's token");
}

std::optional<Error> checkCustomer(const AdminIdentity &who, const CustomerId &customer)
{
    if (who.role == OperatorRole::Owner || who.customer == customer) {
        return std::nullopt;
    }
    // The answer is the same whether the object exists or not, so that others' names can't be guessed.
    return forbidden(who, "see or change what belongs to another customer");
}

std::optional<Error> checkPatch(const AdminIdentity &who, const std::string &site, const std::string &path)
{
    if (who.role == OperatorRole::Owner) {
        return std::nullopt;
    }
    const std::string keys = "customers." + who.customer.value + ".keys";
    const bool own = path == keys || path.compare(0, keys.size() + 1, keys + ".") == 0;
    // A name with a dot or a quote would have to be quoted in the path; it could then name somebody else's keys.
    const bool plain = who.customer.value.find_first_of(".\"'") == std::string::npos;
    if (site.empty() && own && plain) {
        return std::nullopt;
    }
    return forbidden(who, "change '" + path + "'; it may change '" + keys + "'");
}

} // namespace Godwit
