#pragma once

// What one answer keeps in memory, as part of a sum over several answers.
//
// Not thread-safe.
//
// Example:
//   KeptBytes kept(pool.keptBytes());
//   kept.set(body.capacity());

#include <cstddef>

namespace Godwit
{

class KeptBytes
{
public:
    // `sum` outlives this object.
    explicit KeptBytes(std::size_t &sum)
        : m_sum(sum)
    {
    }
    ~KeptBytes()
    {
        set(0);
    }
    KeptBytes(const KeptBytes &) = delete;
    KeptBytes &operator=(const KeptBytes &) = delete;

    void set(std::size_t bytes)
    {
        m_sum = m_sum - m_bytes + bytes;
        m_bytes = bytes;
    }

private:
    std::size_t &m_sum;
    std::size_t m_bytes = 0;
};

} // namespace Godwit
