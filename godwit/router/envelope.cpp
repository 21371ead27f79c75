#include "godwit/router/envelope.h"

#include "godwit/base/enum_names.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace Godwit
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t LengthBytes = 2;
constexpr std::size_t HeadFieldBound = 8;
constexpr std::size_t RefusalMessageBound = 512;

enum class FrameKind {
    Hello = 1,
    Refusal = 2,
    Message = 3,
};

constexpr EnumName<RefusalKind> RefusalNames[] = {
    {RefusalKind::Version, "version"},
    {RefusalKind::Identity, "identity"},
    {RefusalKind::Self, "self"},
    {RefusalKind::Malformed, "malformed"},
};

using HeadField = std::variant<std::int64_t, std::string>;

// Collects a flat array of integers and strings and stops the parser at anything else.
//
// The CBOR parser recurses on nested arrays. Without the stop at the second one, a head full of array openers would
// take thousands of stack frames of the control thread, and [3, ["budget"]] would pass for [3, "budget"].
class HeadReader
{
public:
    std::vector<HeadField> fields;

    // The parser calls these by its own names.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null()
    {
        return false;
    }
    bool boolean(bool /*value*/)
    {
        return false;
    }
    bool number_integer(Json::number_integer_t value)
    {
        return add(value);
    }
    bool number_unsigned(Json::number_unsigned_t value)
    {
        if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return false;
        }
        return add(static_cast<std::int64_t>(value));
    }
    bool number_float(Json::number_float_t /*value*/, const std::string & /*text*/)
    {
        return false;
    }
    bool string(std::string &value)
    {
        return add(std::move(value));
    }
    bool binary(Json::binary_t & /*value*/)
    {
        return false;
    }
    bool start_object(std::size_t /*size*/)
    {
        return false;
    }
    bool key(std::string & /*name*/)
    {
        return false;
    }
    bool end_object()
    {
        return false;
    }
    bool start_array(std::size_t /*size*/)
    {
        const bool first = !m_open && fields.empty();
        m_open = true;
        return first;
    }
    bool end_array()
    {
        return true;
    }
    bool parse_error(std::size_t /*at*/, const std::string & /*token*/, const nlohmann::detail::exception & /*e*/)
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    bool m_open = false;

    bool add(HeadField field)
    {
        if (!m_open || fields.size() == HeadFieldBound) {
            return false;
        }
        fields.push_back(std::move(field));
        return true;
    }
};

std::nullopt_t malformed(LastReason &reason, std::string message)
{
    reason = Error{ErrorKind::MalformedRequest, std::move(message), Execution::NotRun, std::nullopt};
    return std::nullopt;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

// Hello fields reach logs and metrics, so control characters and blanks are refused.
bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= HelloFieldBound && isPrintable(text);
}

bool isTopic(std::string_view text)
{
    return !text.empty() && text.size() <= TopicBound && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
}

std::string encodeHead(const Json &head)
{
    std::string bytes(LengthBytes, '\0');
    Json::to_cbor(head, nlohmann::detail::output_adapter<char>(bytes));
    const std::size_t size = bytes.size() - LengthBytes;
    bytes[0] = static_cast<char>(size >> 8U);
    bytes[1] = static_cast<char>(size & 0xffU);
    return bytes;
}

const std::int64_t *numberAt(const std::vector<HeadField> &fields, std::size_t index)
{
    return index < fields.size() ? std::get_if<std::int64_t>(&fields[index]) : nullptr;
}

const std::string *textAt(const std::vector<HeadField> &fields, std::size_t index)
{
    return index < fields.size() ? std::get_if<std::string>(&fields[index]) : nullptr;
}

std::optional<Frame> decodeHello(const std::vector<HeadField> &fields, LastReason &reason)
{
    const auto *version = numberAt(fields, 1);
    if (version == nullptr || *version < 1 || *version > std::numeric_limits<int>::max()) {
        return malformed(reason, "a hello without a version; send [1, version, ...]");
    }
    if (*version != RouterProtocolVersion) {
        return Frame{ForeignHello{static_cast<int>(*version)}};
    }
    const auto *host = textAt(fields, 2);
    const auto *incarnation = textAt(fields, 3);
    const auto *dataCentre = textAt(fields, 4);
    const auto *peerAddress = textAt(fields, 5);
    const auto *callerAddress = textAt(fields, 6);
    const bool complete = host != nullptr && incarnation != nullptr && dataCentre != nullptr && peerAddress != nullptr
        && callerAddress != nullptr && fields.size() == 7;
    if (!complete) {
        return malformed(reason, "a hello with missing or surplus fields; run the same release on both routers");
    }
    Hello hello;
    hello.host = HostId{*host};
    hello.incarnation = Incarnation{*incarnation};
    hello.dataCentre = DataCentreId{*dataCentre};
    hello.peerAddress = *peerAddress;
    hello.callerAddress = *callerAddress;
    if (!isValid(hello)) {
        return malformed(reason, "a hello with an empty, overlong or unprintable field; correct that host's settings");
    }
    return Frame{std::move(hello)};
}

std::optional<Frame> decodeRefusal(const std::vector<HeadField> &fields, LastReason &reason)
{
    const auto *name = textAt(fields, 1);
    const auto *message = textAt(fields, 2);
    if (name == nullptr || message == nullptr || fields.size() != 3 || message->size() > RefusalMessageBound) {
        return malformed(reason, "a refusal without kind and message");
    }
    const auto kind = enumFromName(RefusalNames, *name);
    if (!kind) {
        return malformed(reason, "a refusal of an unknown kind");
    }
    return Frame{Refusal{*kind, *message}};
}

std::optional<Frame> decodeMessage(std::vector<HeadField> &fields, std::string body, LastReason &reason)
{
    const auto *topic = textAt(fields, 1);
    if (topic == nullptr || fields.size() != 2 || !isTopic(*topic)) {
        return malformed(reason, "a message without a well-formed topic");
    }
    return Frame{Envelope{*topic, std::move(body)}};
}

} // namespace

std::string_view refusalName(RefusalKind kind)
{
    return enumName(RefusalNames, kind);
}

bool isValid(const Hello &hello)
{
    return isName(hello.host.value) && isName(hello.incarnation.value) && isName(hello.dataCentre.value)
        && isName(hello.peerAddress) && isName(hello.callerAddress);
}

bool isValid(const Envelope &envelope, std::size_t frameBound)
{
    // Two bytes of length, one each for the array and the kind, and at most two before the topic's letters.
    constexpr std::size_t overhead = LengthBytes + 4;
    return isTopic(envelope.topic) && envelope.body.size() + envelope.topic.size() + overhead <= frameBound;
}

std::string encodeHello(const Hello &hello)
{
    return encodeHead(Json::array({static_cast<int>(FrameKind::Hello),
                                   hello.version,
                                   hello.host.value,
                                   hello.incarnation.value,
                                   hello.dataCentre.value,
                                   hello.peerAddress,
                                   hello.callerAddress}));
}

std::string encodeRefusal(const Refusal &refusal)
{
    return encodeHead(Json::array({static_cast<int>(FrameKind::Refusal),
                                   std::string(refusalName(refusal.kind)),
                                   refusal.message.substr(0, RefusalMessageBound)}));
}

std::string encodeEnvelope(const Envelope &envelope)
{
    std::string bytes = encodeHead(Json::array({static_cast<int>(FrameKind::Message), envelope.topic}));
    bytes += envelope.body;
    return bytes;
}

std::optional<Frame> decodeFrame(std::string bytes, std::size_t frameBound, LastReason &reason)
{
    if (bytes.size() > frameBound) {
        return malformed(reason, "a frame over the bound of " + std::to_string(frameBound) + " bytes");
    }
    if (bytes.size() < LengthBytes) {
        return malformed(reason, "a frame shorter than its length field");
    }
    const std::size_t headSize = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) << 8U
        | static_cast<std::size_t>(static_cast<unsigned char>(bytes[1]));
    if (headSize > HeadBound || headSize > bytes.size() - LengthBytes) {
        return malformed(reason, "a head longer than its bound or its frame");
    }
    HeadReader head;
    const std::string_view headBytes(bytes.data() + LengthBytes, headSize);
    if (!Json::sax_parse(headBytes.begin(), headBytes.end(), &head, Json::input_format_t::cbor, true)) {
        return malformed(reason, "a head that is no flat CBOR array of numbers and strings");
    }
    const auto *kind = numberAt(head.fields, 0);
    const bool hasBody = bytes.size() > LengthBytes + headSize;
    if (kind == nullptr || (hasBody && *kind != static_cast<int>(FrameKind::Message))) {
        return malformed(reason, "a frame without a kind, or with a body that its kind doesn't have");
    }
    switch (*kind) {
    case static_cast<int>(FrameKind::Hello):
        return decodeHello(head.fields, reason);
    case static_cast<int>(FrameKind::Refusal):
        return decodeRefusal(head.fields, reason);
    case static_cast<int>(FrameKind::Message):
        bytes.erase(0, LengthBytes + headSize);
        return decodeMessage(head.fields, std::move(bytes), reason);
    default:
        return malformed(reason, "a frame of an unknown kind; run the same release on both routers");
    }
}

} // namespace Godwit
