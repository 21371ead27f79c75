#include "godwit/config/config_document.h"

#include "godwit/base/hash.h"
#include "godwit/config/site_resolver.h"
#include "godwit/config/toml_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Godwit
{
namespace
{

using internal::FaultList;
using internal::UnknownKeys;

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxOverlays = 64;

const std::string EmptyText;

std::string_view fileNameOf(std::string_view site)
{
    return site.empty() ? std::string_view("base") : site;
}

const std::string &fileText(const ConfigDocument &document, const std::string &site)
{
    if (site.empty()) {
        return document.base;
    }
    const auto overlay = document.overlays.find(DataCentreId(site));
    return overlay == document.overlays.end() ? EmptyText : overlay->second;
}

Error makeError(ErrorKind kind, std::string message)
{
    return Error{kind, std::move(message), Execution::NotRun, std::nullopt};
}

std::string pathKey(std::string_view site, const std::vector<std::string> &keys)
{
    return std::string(site) + ':' + internal::joinPath(keys);
}

std::optional<SiteConfig> resolve(const ConfigDocument &document,
                                  const DataCentreId &site,
                                  UnknownKeys unknown,
                                  LastReason &reason)
{
    FaultList faults;
    auto merged = internal::parseToml(document.base, "base", faults);
    const std::string &overlayText = site.value.empty() ? EmptyText : fileText(document, site.value);
    auto overlay = internal::parseToml(overlayText, site.value, faults);
    if (merged && overlay) {
        internal::mergeTables(*merged, std::move(*overlay));
        if (auto config = internal::readSite(*merged, unknown, faults)) {
            config->revision = document.revision;
            config->site = site;
            return config;
        }
    }
    reason = faults.toError(ErrorKind::InvalidConfiguration);
    return std::nullopt;
}

std::string toText(const toml::table &table)
{
    std::ostringstream out;
    out << table;
    return out.str();
}

// Reads the text of one value: `3`, `"a"`, `[1]`, `{ a = 1 }`, or lines of keys, which make a table.
std::unique_ptr<toml::table> parseValue(const std::string &value, FaultList &faults)
{
    FaultList asValueFaults;
    if (auto holder = internal::parseToml("v = " + value, "value", asValueFaults)) {
        // More than one key: the text tried to leave its place, as in "1\nother = 2".
        if (holder->size() == 1 && holder->contains("v")) {
            return std::make_unique<toml::table>(std::move(*holder));
        }
    }
    if (auto lines = internal::parseToml(value, "value", faults)) {
        auto holder = std::make_unique<toml::table>();
        holder->insert("v", std::move(*lines));
        return holder;
    }
    return nullptr;
}

// Walks to the table that holds the last key; creates tables on the way when `create` is set.
toml::table *parentOf(toml::table &root, const std::vector<std::string> &keys, bool create)
{
    toml::table *table = &root;
    for (std::size_t i = 0; i + 1 < keys.size(); ++i) {
        if (create && !table->contains(keys[i])) {
            table->insert(keys[i], toml::table{});
        }
        table = (*table)[keys[i]].as_table();
        if (table == nullptr) {
            return nullptr;
        }
    }
    return table;
}

// The file's text with the patch made, or nothing with `reason` filled.
std::optional<std::string> editFile(const std::string &text,
                                    const ConfigPatch &patch,
                                    const std::vector<std::string> &keys,
                                    LastReason &reason)
{
    if (keys.empty()) {
        return patch.value ? *patch.value : std::string();
    }
    FaultList faults;
    auto root = internal::parseToml(text, fileNameOf(patch.site), faults);
    if (!root) {
        reason = faults.toError(ErrorKind::InvalidConfiguration);
        return std::nullopt;
    }
    toml::table *parent = parentOf(*root, keys, patch.value.has_value());
    if (!patch.value) {
        if (parent == nullptr || parent->erase(keys.back()) == 0) {
            reason = makeError(ErrorKind::UnknownObject,
                               std::string(fileNameOf(patch.site)) + ": " + patch.path
                                   + ": nothing stands there to remove; correct the path");
            return std::nullopt;
        }
        return toText(*root);
    }
    if (parent == nullptr) {
        reason = makeError(ErrorKind::InvalidConfiguration,
                           std::string(fileNameOf(patch.site)) + ": " + patch.path
                               + ": a parent of this path is no table; correct the path");
        return std::nullopt;
    }
    const auto holder = parseValue(*patch.value, faults);
    if (!holder) {
        reason = faults.toError(ErrorKind::InvalidConfiguration);
        return std::nullopt;
    }
    std::move(*holder->get("v")).visit([&](auto &&value) {
        parent->insert_or_assign(keys.back(), std::forward<decltype(value)>(value));
    });
    return toText(*root);
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// What the keys of everything below `key` start with.
std::string childPrefix(const std::string &key)
{
    return key.back() == ':' ? key : key + '.';
}

struct LastChange
{
    std::string key;
    std::uint64_t revision = 0;
};

// The newest change of the path, of a parent or of a child, as far as single paths are known.
LastChange newestChange(const ConfigDocument &document, std::string_view site, const std::vector<std::string> &keys)
{
    LastChange newest;
    const auto consider = [&](const std::string &key, std::uint64_t revision) {
        if (revision > newest.revision) {
            newest = {key, revision};
        }
    };
    for (std::size_t depth = 0; depth <= keys.size(); ++depth) {
        const std::string parent = pathKey(site, {keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(depth)});
        const auto found = document.pathRevisions.find(parent);
        if (found != document.pathRevisions.end()) {
            consider(found->first, found->second);
        }
    }
    const std::string prefix = childPrefix(pathKey(site, keys));
    for (auto it = document.pathRevisions.lower_bound(prefix);
         it != document.pathRevisions.end() && startsWith(it->first, prefix);
         ++it) {
        consider(it->first, it->second);
    }
    return newest;
}

std::string conflictMessage(const ConfigPatch &patch, std::string_view path, std::uint64_t revision)
{
    return std::string(fileNameOf(patch.site)) + ": " + patch.path + ": \"" + std::string(path)
        + "\" changed in revision " + std::to_string(revision) + ", after the expected revision "
        + std::to_string(patch.expectedRevision) + "; read it again and repeat the change with expected revision "
        + std::to_string(revision) + " or later";
}

// The loser of a race must not write back what it read before the winner's change: the winner's accepted change
// would silently be gone. Refusing whatever touches a path that changed since the author read it is enough, since
// other paths keep their newest values in the patched text.
bool refuseConflict(const ConfigDocument &document,
                    const ConfigPatch &patch,
                    const std::vector<std::string> &keys,
                    LastReason &reason)
{
    if (patch.expectedRevision > document.revision) {
        reason = makeError(ErrorKind::RevisionConflict,
                           "expected revision " + std::to_string(patch.expectedRevision)
                               + " does not exist; the newest is " + std::to_string(document.revision));
        return true;
    }
    const LastChange newest = newestChange(document, patch.site, keys);
    if (newest.revision > patch.expectedRevision) {
        const std::string path = newest.key.substr(newest.key.find(':') + 1);
        reason = makeError(ErrorKind::RevisionConflict,
                           conflictMessage(patch, path.empty() ? "the whole file" : path, newest.revision));
        return true;
    }
    if (document.pathFloor > patch.expectedRevision) {
        reason = makeError(ErrorKind::RevisionConflict, conflictMessage(patch, patch.path, document.pathFloor));
        return true;
    }
    return false;
}

bool isName(std::string_view text, std::size_t least)
{
    return text.size() >= least && text.size() <= MaxNameBytes && internal::isPlainUtf8(text);
}

// Checks everything that doesn't depend on the document; returns the path's keys.
std::optional<std::vector<std::string>> checkShape(const ConfigPatch &patch, LastReason &reason)
{
    const auto refuse = [&](std::string message) {
        reason = makeError(ErrorKind::MalformedRequest, std::move(message));
        return std::nullopt;
    };
    if (!isName(patch.id, 1)) {
        return refuse("id: needs 1 to 128 printable characters; choose one for each change");
    }
    if (!isName(patch.author, 0)) {
        return refuse("author: needs at most 128 printable characters");
    }
    if (!isName(patch.site, 0) || patch.site.find(':') != std::string::npos || patch.site == "base") {
        return refuse("site: must be empty for the base or a data centre's name without ':'");
    }
    if (patch.value && patch.value->size() > MaxPatchValueBytes) {
        return refuse("value: is longer than " + std::to_string(MaxPatchValueBytes) + " bytes; split the change");
    }
    auto keys = internal::splitPath(patch.path);
    if (!keys) {
        return refuse("path: must be dotted keys, at most 12 deep, such as customers.dolna.share or "
                      "customers.\"a.b\".share");
    }
    return keys;
}

void notePath(ConfigDocument &document, const std::string &key)
{
    // A parent's newer revision says all that its children's older ones did.
    const std::string prefix = childPrefix(key);
    auto child = document.pathRevisions.lower_bound(prefix);
    while (child != document.pathRevisions.end() && startsWith(child->first, prefix)) {
        child = document.pathRevisions.erase(child);
    }
    document.pathRevisions[key] = document.revision;
    if (document.pathRevisions.size() > MaxPathRevisions) {
        const auto oldest = std::min_element(
            document.pathRevisions.begin(), document.pathRevisions.end(), [](const auto &a, const auto &b) {
                return a.second < b.second;
            });
        document.pathFloor = std::max(document.pathFloor, oldest->second);
        document.pathRevisions.erase(oldest);
    }
}

std::uint64_t payloadHash(const ConfigPatch &patch)
{
    const std::string value = patch.value ? '=' + *patch.value : std::string("-");
    return rendezvousWeight(patch.site + '\n' + patch.path + '\n' + std::to_string(patch.expectedRevision), value);
}

template<typename Entries>
void trimFront(Entries &entries, std::size_t most)
{
    if (entries.size() > most) {
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(entries.size() - most));
    }
}

// The document with the patched text and all records of the change.
ConfigDocument withChange(const ConfigDocument &document,
                          const ConfigPatch &patch,
                          const std::vector<std::string> &keys,
                          std::string text)
{
    ConfigDocument next = document;
    ++next.revision;
    if (patch.site.empty()) {
        next.base = std::move(text);
    } else if (keys.empty() && !patch.value) {
        next.overlays.erase(DataCentreId(patch.site));
    } else {
        next.overlays[DataCentreId(patch.site)] = std::move(text);
    }
    notePath(next, pathKey(patch.site, keys));
    next.history.push_back(
        {next.revision, patch.id, patch.author, patch.site, patch.path, patch.at, payloadHash(patch)});
    trimFront(next.history, MaxConfigHistory);
    next.recent.push_back({next.revision, patch});
    trimFront(next.recent, MaxRecentPatches);
    return next;
}

// A site that was invalid before (by a newer router's acceptance) must not stop changes that don't make it worse.
bool staysValid(const ConfigDocument &before, const ConfigDocument &after, const DataCentreId &site, LastReason &reason)
{
    LastReason fault;
    if (resolveSite(after, site, fault)) {
        return true;
    }
    LastReason ignored;
    if (before.revision > 0 && !resolveSite(before, site, ignored)) {
        return true;
    }
    reason = fault;
    return false;
}

bool validateChange(const ConfigDocument &before,
                    const ConfigDocument &after,
                    const ConfigPatch &patch,
                    LastReason &reason)
{
    if (!patch.site.empty()) {
        LastReason fault;
        if (resolveSite(after, DataCentreId(patch.site), fault)) {
            return true;
        }
        reason = fault;
        return false;
    }
    LastReason fault;
    if (!resolveSite(after, DataCentreId(), fault)) {
        reason = fault;
        return false;
    }
    return std::all_of(after.overlays.begin(), after.overlays.end(), [&](const auto &overlay) {
        return staysValid(before, after, overlay.first, reason);
    });
}

nlohmann::json historyToJson(const std::vector<ConfigHistoryEntry> &history)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const ConfigHistoryEntry &entry : history) {
        entries.push_back({entry.revision,
                           entry.id,
                           entry.author,
                           entry.site,
                           entry.path,
                           entry.at.time_since_epoch().count(),
                           entry.payload});
    }
    return entries;
}

ConfigHistoryEntry historyFromJson(const nlohmann::json &entry)
{
    ConfigHistoryEntry read;
    read.revision = entry.at(0).get<std::uint64_t>();
    read.id = entry.at(1).get<std::string>();
    read.author = entry.at(2).get<std::string>();
    read.site = entry.at(3).get<std::string>();
    read.path = entry.at(4).get<std::string>();
    read.at = WallTime(std::chrono::milliseconds(entry.at(5).get<std::int64_t>()));
    read.payload = entry.at(6).get<std::uint64_t>();
    return read;
}

ConfigDocument documentFromJson(const nlohmann::json &json)
{
    ConfigDocument document;
    document.revision = json.at("revision").get<std::uint64_t>();
    document.base = json.at("base").get<std::string>();
    for (const auto &[site, text] : json.at("overlays").items()) {
        document.overlays.emplace(DataCentreId(site), text.get<std::string>());
    }
    document.pathRevisions = json.at("paths").get<std::map<std::string, std::uint64_t>>();
    document.pathFloor = json.at("floor").get<std::uint64_t>();
    for (const auto &entry : json.at("history")) {
        document.history.push_back(historyFromJson(entry));
    }
    return document;
}

} // namespace

std::optional<SiteConfig> resolveSite(const ConfigDocument &document, const DataCentreId &site, LastReason &reason)
{
    return resolve(document, site, UnknownKeys::Refuse, reason);
}

std::optional<SiteConfig> resolveAcceptedSite(const ConfigDocument &document,
                                              const DataCentreId &site,
                                              LastReason &reason)
{
    return resolve(document, site, UnknownKeys::Ignore, reason);
}

std::optional<ConfigDocument> applyPatch(const ConfigDocument &document, const ConfigPatch &patch, LastReason &reason)
{
    const auto keys = checkShape(patch, reason);
    if (!keys || refuseConflict(document, patch, *keys, reason)) {
        return std::nullopt;
    }
    const bool newOverlay = document.overlays.count(DataCentreId(patch.site)) == 0;
    if (!patch.site.empty() && newOverlay && document.overlays.size() >= MaxOverlays) {
        reason = makeError(ErrorKind::InvalidConfiguration, "there are 64 overlays already; remove one first");
        return std::nullopt;
    }
    auto text = editFile(fileText(document, patch.site), patch, *keys, reason);
    if (!text) {
        return std::nullopt;
    }
    ConfigDocument next = withChange(document, patch, *keys, std::move(*text));
    if (!validateChange(document, next, patch, reason)) {
        return std::nullopt;
    }
    return next;
}

std::optional<ConfigDocument> replayPatch(const ConfigDocument &document, const AppliedPatch &applied)
{
    LastReason ignored;
    const auto keys = checkShape(applied.patch, ignored);
    if (!keys || document.revision + 1 != applied.revision) {
        return std::nullopt;
    }
    auto text = editFile(fileText(document, applied.patch.site), applied.patch, *keys, ignored);
    if (!text) {
        return std::nullopt;
    }
    return withChange(document, applied.patch, *keys, std::move(*text));
}

std::optional<std::uint64_t> appliedRevision(const ConfigDocument &document,
                                             const ConfigPatch &patch,
                                             LastReason &reason)
{
    const auto found = std::find_if(document.history.rbegin(), document.history.rend(), [&](const auto &entry) {
        return entry.id == patch.id;
    });
    if (found == document.history.rend()) {
        return std::nullopt;
    }
    if (found->payload != payloadHash(patch)) {
        reason = makeError(ErrorKind::PayloadDiffers,
                           "id \"" + patch.id + "\" made revision " + std::to_string(found->revision) + " at path \""
                               + found->path + "\"; use a new id for another change");
        return std::nullopt;
    }
    return found->revision;
}

std::uint64_t lastChanged(const ConfigDocument &document, std::string_view site, std::string_view path)
{
    const auto keys = internal::splitPath(path);
    if (!keys) {
        return document.revision;
    }
    return std::max(newestChange(document, site, *keys).revision, document.pathFloor);
}

std::optional<std::string> valueAt(const ConfigDocument &document, std::string_view site, std::string_view path)
{
    const auto keys = internal::splitPath(path);
    if (!keys) {
        return std::nullopt;
    }
    const std::string &text = fileText(document, std::string(site));
    if (keys->empty()) {
        return text;
    }
    FaultList faults;
    auto root = internal::parseToml(text, fileNameOf(site), faults);
    if (!root) {
        return std::nullopt;
    }
    toml::table *parent = parentOf(*root, *keys, false);
    const toml::node *node = parent == nullptr ? nullptr : parent->get(keys->back());
    if (node == nullptr) {
        return std::nullopt;
    }
    std::ostringstream out;
    node->visit([&](const auto &value) {
        out << value;
    });
    return out.str();
}

std::string encodeDocument(const ConfigDocument &document)
{
    nlohmann::json overlays = nlohmann::json::object();
    for (const auto &[site, text] : document.overlays) {
        overlays[site.value] = text;
    }
    const nlohmann::json json = {
        {"revision", document.revision},
        {"base", document.base},
        {"overlays", std::move(overlays)},
        {"paths", document.pathRevisions},
        {"floor", document.pathFloor},
        {"history", historyToJson(document.history)},
    };
    return json.dump();
}

std::optional<ConfigDocument> decodeDocument(std::string_view text, LastReason &reason)
{
    try {
        return documentFromJson(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &error) {
        reason = makeError(ErrorKind::Internal, std::string("stored configuration can't be read: ") + error.what());
        return std::nullopt;
    }
}

std::uint64_t documentDigest(const ConfigDocument &document)
{
    std::ostringstream parts;
    parts << document.revision << ' ' << document.pathFloor << ' ' << stableHash(document.base);
    for (const auto &[site, text] : document.overlays) {
        parts << ' ' << site << ' ' << stableHash(text);
    }
    for (const auto &[path, revision] : document.pathRevisions) {
        parts << ' ' << path << ' ' << revision;
    }
    for (const ConfigHistoryEntry &entry : document.history) {
        parts << ' ' << entry.revision << ' ' << entry.payload;
    }
    return stableHash(parts.str());
}

} // namespace Godwit
