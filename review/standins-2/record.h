#pragma once

// The record of one run of a case: what was sent, answered and run, with the time since its start. Lines also go to
// standard output.
//
// Example:
//   Record record(directory + "/record.txt");
//   record.line("sent a1");

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review
{

// How a case ends.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    // Writes the last line and returns the exit code of the case.
    int end(Verdict verdict, const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start;
};

} // namespace Review
