#pragma once

// One owner's part of the bytes that a router holds; released on destruction.
//
// Shares ownership of the counts: connections and calls that the event loop still owns outlive the router's state.
//
// Example:
//   HeldBytesClaim claim(held, HeldSide::Body);
//   claim.set(body.size());

#include "godwit/gateway/held_bytes.h"

#include <memory>
#include <utility>

namespace Godwit
{

class HeldBytesClaim
{
public:
    // Counts nothing if `held` is null.
    HeldBytesClaim(std::shared_ptr<HeldBytes> held, HeldSide side)
        : m_held(std::move(held))
        , m_side(side)
    {
    }
    ~HeldBytesClaim()
    {
        set(0);
    }
    HeldBytesClaim(const HeldBytesClaim &) = delete;
    HeldBytesClaim &operator=(const HeldBytesClaim &) = delete;

    std::uint64_t bytes() const
    {
        return m_bytes;
    }

    void set(std::uint64_t bytes)
    {
        if (m_held) {
            setHeld(*m_held, m_side, std::exchange(m_bytes, bytes), bytes);
        }
    }

private:
    std::shared_ptr<HeldBytes> m_held;
    HeldSide m_side;
    std::uint64_t m_bytes = 0;
};

} // namespace Godwit
