#include "godwit/config/config_diff.h"

#include "godwit/config/file_editor.h"

#include <algorithm>
#include <iterator>

namespace Godwit
{
namespace
{

struct ObjectChange
{
    std::string name;
    std::optional<std::string> text; // Absent: removed.
};

// Sections are listed in the order in which they refer to one another; other tables refer to nothing.
std::size_t rankOf(const std::string &name)
{
    const auto section =
        std::find_if(std::begin(internal::SectionNames), std::end(internal::SectionNames), [&](std::string_view row) {
            return name.compare(0, row.size() + 1, std::string(row) + '.') == 0;
        });
    return section == std::end(internal::SectionNames)
        ? 0
        : 1 + static_cast<std::size_t>(section - std::begin(internal::SectionNames));
}

bool goesBefore(const ObjectChange &a, const ObjectChange &b)
{
    if (a.text.has_value() != b.text.has_value()) {
        return a.text.has_value();
    }
    const std::size_t rankA = rankOf(a.name);
    const std::size_t rankB = rankOf(b.name);
    return a.text ? rankA < rankB : rankA > rankB;
}

std::vector<ObjectChange> changesBetween(const ConfigFile &before, const ConfigFile &after)
{
    std::vector<ObjectChange> changes;
    for (const auto &[name, text] : after.objects) {
        const auto old = before.objects.find(name);
        if (old == before.objects.end() || *old->second != *text) {
            changes.push_back({name, *text});
        }
    }
    for (const auto &[name, text] : before.objects) {
        if (after.objects.count(name) == 0) {
            changes.push_back({name, std::nullopt});
        }
    }
    std::stable_sort(changes.begin(), changes.end(), goesBefore);
    return changes;
}

} // namespace

std::optional<std::vector<ConfigPatch>> patchesBetween(std::string_view oldText,
                                                       std::string_view newText,
                                                       const DiffTag &tag,
                                                       LastReason &reason)
{
    internal::FaultList faults;
    auto before = internal::parseObjects(oldText, "old text", faults);
    auto after = internal::parseObjects(newText, "new text", faults);
    if (!before || !after) {
        reason = faults.toError(ErrorKind::InvalidConfiguration);
        return std::nullopt;
    }
    std::vector<ConfigPatch> patches;
    for (ObjectChange &change : changesBetween(internal::fileOf(*before), internal::fileOf(*after))) {
        ConfigPatch patch;
        patch.site = tag.site;
        patch.path = std::move(change.name);
        patch.value = std::move(change.text);
        patch.expectedRevision = tag.expectedRevision;
        patch.id = tag.id + '-' + std::to_string(patches.size() + 1);
        patch.author = tag.author;
        patches.push_back(std::move(patch));
    }
    return patches;
}

} // namespace Godwit
