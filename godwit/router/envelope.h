#pragma once

// The frames that two routers exchange, and their codec.
//
// A frame is one binary WebSocket message: two bytes with the length of the head, the head as a flat CBOR array,
// and the body as raw bytes. The head holds the kind and the fields; only messages have a body. Decoding takes
// bytes from anyone who reaches the port, so every length, type and character is checked before it is used.
//
// Example:
//   const std::string bytes = encodeEnvelope({"budget", record});
//   LastReason reason;
//   const auto frame = decodeFrame(bytes, DefaultFrameBound, reason);
//   const auto *envelope = frame ? std::get_if<Envelope>(&*frame) : nullptr;

#include "godwit/base/error.h"
#include "godwit/base/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Godwit
{

// Raised with each change that an older router can't read. Routers of different versions refuse each other.
constexpr int RouterProtocolVersion = 1;

constexpr std::size_t DefaultFrameBound = 1024UL * 1024;
// The head's length bound also bounds how much the CBOR parser ever sees.
constexpr std::size_t HeadBound = 4096;
constexpr std::size_t TopicBound = 64;
constexpr std::size_t HelloFieldBound = 255;

// The first frame in each direction: who speaks.
struct Hello
{
    int version = RouterProtocolVersion;
    HostId host;
    Incarnation incarnation;
    DataCentreId dataCentre;
    // Where other routers and callers reach it, as "ip:port".
    std::string peerAddress;
    std::string callerAddress;
};

enum class RefusalKind {
    Version, // The two routers speak different protocol versions.
    Identity, // The certificate, or the host that was dialled, is not the host that the hello names.
    Self, // A router reached itself.
    Malformed, // A frame could not be read, or came out of turn.
};

// The last frame before the sender closes the link.
struct Refusal
{
    RefusalKind kind = RefusalKind::Malformed;
    std::string message;
};

struct Envelope
{
    // Lower-case letters, digits and dashes: "budget", "heartbeat", "config", "suspect".
    std::string topic;
    // Opaque to the link.
    std::string body;
};

// A hello of another protocol version. Its other fields are not read: they may mean something else.
struct ForeignHello
{
    int version = 0;
};

using Frame = std::variant<Hello, ForeignHello, Refusal, Envelope>;

std::string_view refusalName(RefusalKind kind);

// Encoders expect fields within the bounds above; isValid tells whether they are.
std::string encodeHello(const Hello &hello);
std::string encodeRefusal(const Refusal &refusal);
std::string encodeEnvelope(const Envelope &envelope);

bool isValid(const Hello &hello);
// True when the topic is well formed and the encoded frame stays within `frameBound`.
bool isValid(const Envelope &envelope, std::size_t frameBound);

// Reads one frame. On failure returns nullopt and says in `reason` what was wrong. Takes `bytes` by value so that
// a received message's memory becomes the body.
std::optional<Frame> decodeFrame(std::string bytes, std::size_t frameBound, LastReason &reason);

} // namespace Godwit
