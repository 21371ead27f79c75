#pragma once

// A string or number that can't be mistaken for another kind of identifier.
//
// Example:
//   struct CustomerTag;
//   using CustomerId = StrongId<CustomerTag, std::string>;
//   CustomerId id{"salt-lake-franchise"};

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Godwit
{

template<typename Tag, typename Value>
struct StrongId
{
    Value value{};

    StrongId() = default;
    explicit StrongId(Value v)
        : value(std::move(v))
    {
    }

    friend bool operator==(const StrongId &a, const StrongId &b)
    {
        return a.value == b.value;
    }
    friend bool operator!=(const StrongId &a, const StrongId &b)
    {
        return !(a == b);
    }
    friend bool operator<(const StrongId &a, const StrongId &b)
    {
        return a.value < b.value;
    }
    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.value;
    }
};

} // namespace Godwit

template<typename Tag, typename Value>
struct std::hash<Godwit::StrongId<Tag, Value>>
{
    std::size_t operator()(const Godwit::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>()(id.value);
    }
};
