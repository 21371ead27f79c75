#include "godwit/operators/admin_access.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

const WallTime Now(std::chrono::hours(24 * 365 * 50));

SiteConfig siteWith(OperatorRole role, const std::string &digest)
{
    SiteConfig site;
    OperatorToken token;
    token.key.name = "desk";
    token.key.digest = digest;
    token.role = role;
    token.customer = CustomerId{role == OperatorRole::Customer ? "dolna" : ""};
    site.tokens.push_back(token);
    site.tokensByDigest[digest] = 0;
    return site;
}

} // namespace

TEST_CASE("the bootstrap token opens only a fleet without an owner")
{
    // An attacker who keeps the bootstrap token of the first day tries it again after the fleet has owners.
    CHECK(identify(nullptr, "b", "b", Now)->role == OperatorRole::Owner);
    const auto withCustomerOnly = siteWith(OperatorRole::Customer, "c");
    CHECK(identify(&withCustomerOnly, "b", "b", Now));
    const auto withOwner = siteWith(OperatorRole::Owner, "o");
    CHECK_FALSE(identify(&withOwner, "b", "b", Now));
    CHECK(identify(&withOwner, "o", "b", Now)->name == "desk");
    CHECK_FALSE(identify(nullptr, "", "", Now));
}

TEST_CASE("a customer's operator reaches its own objects alone")
{
    const AdminIdentity own{"desk", OperatorRole::Customer, CustomerId{"dolna"}};
    const AdminIdentity owner{"root", OperatorRole::Owner, CustomerId{}};
    CHECK(checkOwner(own)->kind == ErrorKind::Forbidden);
    CHECK_FALSE(checkOwner(owner));
    CHECK_FALSE(checkCustomer(own, CustomerId{"dolna"}));
    CHECK(checkCustomer(own, CustomerId{"herculane"}));
    CHECK_FALSE(checkPatch(own, "", "customers.dolna.keys.next"));
    CHECK(checkPatch(own, "", "customers.dolna.share"));
    CHECK(checkPatch(own, "", "customers.dolna"));
    CHECK(checkPatch(own, "", "customers.dolna.keysX"));
    CHECK(checkPatch(own, "", "customers.herculane.keys"));
    CHECK(checkPatch(own, "salt-lake", "customers.dolna.keys"));
    CHECK_FALSE(checkPatch(owner, "salt-lake", "limits"));
    const AdminIdentity dotted{"x", OperatorRole::Customer, CustomerId{"a.b"}};
    CHECK(checkPatch(dotted, "", "customers.a.b.keys"));
}
