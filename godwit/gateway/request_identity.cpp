#include "godwit/gateway/request_identity.h"

#include "godwit/base/hash.h"
#include "godwit/suspects/suspect_key.h"

#include <initializer_list>
#include <string>

namespace Godwit
{
namespace
{

// Each field is prefixed with its length, so that different fields never result in the same text.
std::string joinFields(std::initializer_list<std::string_view> fields)
{
    std::string text;
    for (const std::string_view field : fields) {
        text.append(std::to_string(field.size())).append(1, ':').append(field);
    }
    return text;
}

} // namespace

std::uint64_t requestFingerprint(const RequestIdentity &identity)
{
    std::string text = joinFields({identity.method, identity.host, identity.target, identity.customer.value});
    return stableHash(text.append(std::to_string(stableHash(identity.body))));
}

std::uint64_t promptPartFingerprint(std::string_view service, std::string_view part)
{
    return tagAsPromptPart(stableHash(joinFields({"prompt part", service, part})));
}

} // namespace Godwit
