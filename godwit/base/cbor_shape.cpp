#include "godwit/base/cbor_shape.h"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>

namespace Godwit
{
namespace
{

constexpr std::size_t DepthLimit = 64;
constexpr std::uint64_t Indefinite = std::numeric_limits<std::uint64_t>::max();

enum class Major : unsigned {
    Unsigned,
    Negative,
    Bytes,
    Text,
    Array,
    Map,
    Tag,
    Simple,
};

struct Head
{
    Major major = Major::Unsigned;
    std::uint64_t value = 0; // Indefinite for an open length or a break.
};

std::optional<Head> readHead(std::string_view bytes, std::size_t &at)
{
    if (at >= bytes.size()) {
        return std::nullopt;
    }
    const auto first = static_cast<unsigned char>(bytes[at++]);
    Head head{static_cast<Major>(first >> 5U), first & 31U};
    if (head.value == 31) {
        head.value = Indefinite;
        return head;
    }
    if (head.value < 24) {
        return head;
    }
    if (head.value > 27) {
        return std::nullopt;
    }
    const std::size_t width = std::size_t{1} << (head.value - 24);
    if (bytes.size() - at < width) {
        return std::nullopt;
    }
    head.value = 0;
    for (std::size_t i = 0; i < width; ++i) {
        head.value = (head.value << 8U) | static_cast<unsigned char>(bytes[at++]);
    }
    return head;
}

// The containers that are open, each with the number of values that it still wants.
struct OpenContainers
{
    std::array<std::uint64_t, DepthLimit> wanted{};
    std::size_t depth = 0;

    // One value is complete; closes every container that it fills.
    void completeOne()
    {
        while (depth > 0 && wanted[depth - 1] != Indefinite && --wanted[depth - 1] == 0) {
            --depth;
        }
    }
};

} // namespace

bool hasBoundedShape(std::string_view bytes, std::size_t maxDepth)
{
    OpenContainers open;
    std::size_t at = 0;
    do {
        const auto head = readHead(bytes, at);
        if (!head || head->major == Major::Tag) {
            return false;
        }
        const bool container = head->major == Major::Array || head->major == Major::Map;
        const bool text = head->major == Major::Text || head->major == Major::Bytes;
        const bool ends = head->major == Major::Simple && head->value == Indefinite;
        if (ends) {
            if (open.depth == 0 || open.wanted[open.depth - 1] != Indefinite) {
                return false;
            }
            --open.depth;
            open.completeOne();
            continue;
        }
        if (text && head->value != Indefinite) {
            if (head->value > bytes.size() - at) {
                return false;
            }
            at += static_cast<std::size_t>(head->value);
        }
        const bool opens = (container && head->value != 0) || (text && head->value == Indefinite);
        if (!opens) {
            open.completeOne();
            continue;
        }
        if (head->value != Indefinite && head->value > bytes.size()) {
            return false;
        }
        if (open.depth >= maxDepth || open.depth >= DepthLimit) {
            return false;
        }
        const std::uint64_t perItem = head->major == Major::Map ? 2 : 1;
        open.wanted[open.depth++] = head->value == Indefinite ? Indefinite : head->value * perItem;
    } while (open.depth > 0);
    return true;
}

} // namespace Godwit
