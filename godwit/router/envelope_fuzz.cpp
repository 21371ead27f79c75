// libFuzzer target for the frames that reach a router's port from anyone.

#include "godwit/router/envelope.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    using namespace Godwit;
    LastReason reason;
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    const auto frame = decodeFrame(bytes, DefaultFrameBound, reason);
    if (frame.has_value() == reason.has_value()) {
        std::abort();
    }
    // What is accepted must come back equal from its own encoding.
    if (frame && std::holds_alternative<Envelope>(*frame)) {
        const auto &envelope = std::get<Envelope>(*frame);
        const auto again = decodeFrame(encodeEnvelope(envelope), DefaultFrameBound + HeadBound, reason);
        if (!again || std::get<Envelope>(*again).body != envelope.body) {
            std::abort();
        }
    }
    if (frame && std::holds_alternative<Hello>(*frame) && !isValid(std::get<Hello>(*frame))) {
        std::abort();
    }
    return 0;
}
