#include "godwit/gateway/request_identity.h"

#include "godwit/base/hash.h"

#include <string>

namespace Godwit
{

std::uint64_t requestFingerprint(const RequestIdentity &identity)
{
    std::string text;
    for (const std::string_view field :
         {identity.method, identity.host, identity.target, std::string_view(identity.customer.value)}) {
        // Prefixed with its length, so that different fields never result in the same text.
        text.append(std::to_string(field.size())).append(1, ':').append(field);
    }
    return stableHash(text.append(std::to_string(stableHash(identity.body))));
}

} // namespace Godwit
