#include "godwit/caller/call_request.h"

#include "godwit/base/hash.h"
#include "godwit/base/json_text.h"
#include "godwit/http/key_digest.h"
#include "godwit/http/target.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace Godwit
{
namespace
{

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::size_t MaxIdBytes = 200;
// A prompt is hashed in blocks, so that prompts with an equal beginning share the first hashes. 64 bytes are about
// the 16 tokens that engines cache as a block.
constexpr std::size_t PrefixBlockBytes = 64;
constexpr std::size_t MaxPrefixBlocks = 64;
constexpr int MaxPriority = 9;

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

Error malformed(std::string message)
{
    return Error{ErrorKind::MalformedRequest, std::move(message)};
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool printableAscii(std::string_view text)
{
    for (const char c : text) {
        if (c <= ' ' || c > '~') {
            return false;
        }
    }
    return true;
}

// Reads the headers that chat and service calls share.
bool readHeaders(const CallHttpRequest &request, CallArrived &arrived, LastReason &reason)
{
    arrived.keyDigest = keyDigestOf(request.authorization);
    if (arrived.keyDigest.empty()) {
        reason = Error{ErrorKind::Unauthenticated, "the Authorization header carries no bearer key"};
        return false;
    }
    if (request.idempotencyKey.size() > MaxIdBytes || !printableAscii(request.idempotencyKey)) {
        reason = malformed("Idempotency-Key must be printable ASCII of at most " + std::to_string(MaxIdBytes)
                           + " characters");
        return false;
    }
    arrived.idempotencyKey = std::string(request.idempotencyKey);
    if (!request.priority.empty()) {
        const auto priority = parseNumber<int>(request.priority);
        if (!priority || *priority < 0 || *priority > MaxPriority) {
            reason = malformed("Godwit-Priority must be a whole number from 0 to 9");
            return false;
        }
        arrived.priority = *priority;
    }
    if (!request.deadlineMs.empty()) {
        const auto deadline = parseNumber<std::int64_t>(request.deadlineMs);
        constexpr std::int64_t dayMs = 86'400'000;
        if (!deadline || *deadline <= 0 || *deadline > dayMs) {
            reason = malformed("Godwit-Deadline-Ms must be a whole number of milliseconds from 1 to 86400000");
            return false;
        }
        arrived.deadline = std::chrono::milliseconds(*deadline);
    }
    if (!request.repeatable.empty()) {
        if (request.repeatable != "true" && request.repeatable != "false") {
            reason = malformed("Godwit-Repeatable must be true or false");
            return false;
        }
        arrived.repeatable = request.repeatable == "true";
    }
    if (!request.createdAt.empty()) {
        const auto created = parseNumber<std::int64_t>(request.createdAt);
        if (!created || *created <= 0) {
            reason = malformed("Godwit-Created-At must be milliseconds since 1970");
            return false;
        }
        arrived.createdAt = WallTime(std::chrono::milliseconds(*created));
    }
    if (!request.firstSend.empty() && request.firstSend != "true" && request.firstSend != "false") {
        reason = malformed("Godwit-First-Send must be true or false");
        return false;
    }
    arrived.firstSend = request.firstSend == "true";
    arrived.forwarded = request.forwarded == "1";
    return true;
}

// Appends the texts of all messages, in order.
void appendPrompt(const nlohmann::json &messages, std::string &prompt)
{
    for (const auto &message : messages) {
        const auto content = message.find("content");
        if (content == message.end()) {
            continue;
        }
        if (content->is_string()) {
            prompt += content->get_ref<const std::string &>();
        } else {
            prompt += content->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }
        prompt += '\n';
    }
}

std::vector<std::uint64_t> hashPrefixes(const std::string &prompt)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t end = PrefixBlockBytes; end <= prompt.size() && hashes.size() < MaxPrefixBlocks;
         end += PrefixBlockBytes) {
        hashes.push_back(stableHash(std::string_view(prompt).substr(0, end)));
    }
    return hashes;
}

std::optional<ParsedCall> parseChat(const CallHttpRequest &request, ParsedCall parsed, LastReason &reason)
{
    const auto body = tryParseJson(request.body);
    if (!body.is_object()) {
        reason = malformed("the body is not a JSON object");
        return std::nullopt;
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        reason = malformed("'model' must be a string");
        return std::nullopt;
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        reason = malformed("'messages' must be a list with at least one message");
        return std::nullopt;
    }
    for (const auto &message : *messages) {
        if (!message.is_object()) {
            reason = malformed("each of 'messages' must be an object");
            return std::nullopt;
        }
    }
    if (const auto choices = body.find("n"); choices != body.end() && *choices != 1) {
        reason = malformed("'n' must be 1: an answer is reserved and billed as one");
        return std::nullopt;
    }
    for (const char *key : {"max_completion_tokens", "max_tokens"}) {
        const auto limit = body.find(key);
        if (limit == body.end() || limit->is_null()) {
            continue;
        }
        if (!limit->is_number_integer() || limit->get<std::int64_t>() <= 0) {
            reason = malformed(std::string("'") + key + "' must be a whole number above 0");
            return std::nullopt;
        }
        parsed.arrived.maxOutput = limit->get<Tokens>();
    }
    if (const auto stream = body.find("stream"); stream != body.end() && !stream->is_null()) {
        if (!stream->is_boolean()) {
            reason = malformed("'stream' must be true or false");
            return std::nullopt;
        }
        parsed.streamed = stream->get<bool>();
    }
    std::string prompt;
    appendPrompt(*messages, prompt);
    parsed.arrived.kind = CallKind::Chat;
    parsed.arrived.routeName = model->get<std::string>();
    parsed.arrived.promptBound = static_cast<Tokens>(request.body.size());
    parsed.arrived.prefixHashes = hashPrefixes(prompt);
    parsed.target = std::string(ChatPath);
    parsed.body = std::string(request.body);
    return parsed;
}

std::optional<ParsedCall> parseService(const CallHttpRequest &request, ParsedCall parsed, LastReason &reason)
{
    const std::string_view rest = request.target.substr(ServicePrefix.size());
    const std::size_t slash = rest.find_first_of("/?");
    const auto name = parseTarget(rest.substr(0, slash));
    if (!name || name->segments.size() != 1) {
        reason = malformed("the path must be /v1/services/<route>/<path>");
        return std::nullopt;
    }
    const std::string_view tail = slash == std::string_view::npos ? std::string_view() : rest.substr(slash);
    parsed.arrived.kind = CallKind::Service;
    parsed.arrived.routeName = name->segments.front();
    parsed.target = tail.empty() || tail.front() == '?' ? "/" + std::string(tail) : std::string(tail);
    parsed.body = std::string(request.body);
    return parsed;
}

} // namespace

CallPath callPathOf(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == ChatPath) {
        return CallPath::ChatCompletions;
    }
    if (startsWith(path, ServicePrefix)) {
        return CallPath::Service;
    }
    if (path == "/v1/addresses") {
        return CallPath::Addresses;
    }
    if (path == "/healthz") {
        return CallPath::Health;
    }
    return CallPath::Unknown;
}

std::optional<ParsedCall> parseCall(const CallHttpRequest &request, LastReason &reason)
{
    if (request.method != "POST") {
        reason = malformed("send it with POST");
        return std::nullopt;
    }
    ParsedCall parsed;
    if (!readHeaders(request, parsed.arrived, reason)) {
        return std::nullopt;
    }
    if (parsed.arrived.idempotencyKey.empty()) {
        parsed.arrived.idempotencyKey = makeRequestId();
        parsed.arrived.idGenerated = true;
        parsed.arrived.firstSend = true;
    }
    parsed.arrived.bodyDigest = stableHash(request.body) ^ stableHash(request.target);
    return callPathOf(request.target) == CallPath::ChatCompletions ? parseChat(request, std::move(parsed), reason)
                                                                   : parseService(request, std::move(parsed), reason);
}

std::string withOutputLimit(const std::string &body, Tokens limit, bool streamed)
{
    auto document = tryParseJson(body);
    document.erase("max_completion_tokens");
    document["max_tokens"] = limit;
    if (streamed) {
        document["stream_options"]["include_usage"] = true;
    }
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string makeRequestId()
{
    thread_local boost::uuids::random_generator generator;
    return boost::uuids::to_string(generator());
}

} // namespace Godwit
