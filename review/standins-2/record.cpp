#include "record.h"

#include <iostream>

namespace Review
{

Record::Record(const std::string &file)
    : m_file(file)
    , m_start(std::chrono::steady_clock::now())
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start);
    const std::string stamped = std::to_string(ms.count()) + " ms: " + text;
    m_file << stamped << std::endl;
    std::cout << stamped << std::endl;
}

int Record::end(Verdict verdict, const std::string &text)
{
    line((verdict == Verdict::Held ? "held: " : verdict == Verdict::Broken ? "BROKEN: " : "not run: ") + text);
    return static_cast<int>(verdict);
}

} // namespace Review
