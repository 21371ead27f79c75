#include "godwit/ctl/line_diff.h"

#include <algorithm>
#include <vector>

namespace Godwit
{
namespace
{

using Lines = std::vector<std::string_view>;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return lines;
}

void append(std::string &out, char mark, std::string_view line)
{
    out += mark;
    out += line;
    out += '\n';
}

// Length of the longest common subsequence of before[i..] and after[j..].
std::vector<std::vector<int>> commonLengths(const Lines &before, const Lines &after)
{
    std::vector<std::vector<int>> lengths(before.size() + 1, std::vector<int>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            lengths[i][j] =
                before[i] == after[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
    }
    return lengths;
}

} // namespace

std::string lineDiff(std::string_view before, std::string_view after)
{
    if (before == after) {
        return {};
    }
    const Lines old = splitLines(before);
    const Lines fresh = splitLines(after);
    const auto lengths = commonLengths(old, fresh);
    std::string out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old.size() || j < fresh.size()) {
        if (i < old.size() && j < fresh.size() && old[i] == fresh[j]) {
            append(out, ' ', old[i]);
            ++i;
            ++j;
        } else if (i < old.size() && (j == fresh.size() || lengths[i + 1][j] >= lengths[i][j + 1])) {
            append(out, '-', old[i++]);
        } else {
            append(out, '+', fresh[j++]);
        }
    }
    return out;
}

} // namespace Godwit
