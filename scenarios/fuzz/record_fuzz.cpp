// libFuzzer target for the records and messages that come from the platform or from other routers. The first byte
// chooses the decoder. What a decoder accepts must survive its own encoder, where there is one in the interface.

#include "godwit/base/error.h"
#include "godwit/budget/budget_messages.h"
#include "godwit/budget/budget_records.h"
#include "godwit/claims/claim_record.h"
#include "godwit/config/config_codec.h"
#include "godwit/config/config_document.h"
#include "godwit/membership/membership.h"
#include "godwit/suspects/suspect_codec.h"

#include <cstdlib>
#include <string>

namespace
{

using namespace Godwit;

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

void shard(const std::string &bytes, LastReason &reason)
{
    if (const auto record = decodeShard(bytes, reason)) {
        require(decodeShard(encodeShard(*record), reason).has_value());
    }
}

void ledger(const std::string &bytes, LastReason &reason)
{
    if (const auto record = decodeLedger(bytes, reason)) {
        require(decodeLedger(encodeLedger(*record), reason).has_value());
    }
}

void budgetMessage(const std::string &bytes, LastReason &reason)
{
    if (const auto message = decodeBudgetMessage(bytes, reason)) {
        require(decodeBudgetMessage(encodeBudgetMessage(*message), reason).has_value());
    }
}

void claims(const std::string &bytes, LastReason &reason)
{
    if (const auto record = decodeClaimRecord(bytes, reason)) {
        require(decodeClaimRecord(encodeClaimRecord(*record), reason).has_value());
    }
}

void heartbeat(const std::string &bytes, LastReason &)
{
    if (const auto body = decodeHeartbeat(bytes)) {
        require(decodeHeartbeat(encodeHeartbeat(*body)).has_value());
    }
}

void document(const std::string &bytes, LastReason &reason)
{
    if (const auto decoded = decodeDocument(bytes, reason)) {
        require(decodeDocument(encodeDocument(*decoded), reason).has_value());
    }
}

void suspect(const std::string &bytes, LastReason &)
{
    if (const auto notice = decodeSuspectNotice(bytes)) {
        require(decodeSuspectNotice(encodeSuspectNotice(*notice)).has_value());
    }
}

void head(const std::string &bytes, LastReason &)
{
    internal::decodeHead(bytes);
    internal::decodePeerMessage(bytes);
    internal::decodeList(bytes);
}

constexpr void (*Decoders[])(const std::string &,
                             LastReason &) = {shard, ledger, budgetMessage, claims, heartbeat, document, suspect, head};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    LastReason reason;
    Decoders[data[0] % std::size(Decoders)](bytes, reason);
    return 0;
}
