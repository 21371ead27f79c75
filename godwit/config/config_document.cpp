#include "godwit/config/config_document.h"

#include "godwit/base/hash.h"
#include "godwit/base/json_number.h"
#include "godwit/base/json_text.h"
#include "godwit/config/file_editor.h"
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

std::string_view fileNameOf(std::string_view site)
{
    return site.empty() ? std::string_view("base") : site;
}

// The overlay of `site`, or null.
std::shared_ptr<const ConfigFile> overlayOf(const ConfigDocument &document, const DataCentreId &site)
{
    const auto overlay = document.overlays.find(site);
    return overlay == document.overlays.end() ? nullptr : overlay->second;
}

// The file that a patch with this site changes; an empty one when there is none yet.
std::shared_ptr<const ConfigFile> fileOfSite(const ConfigDocument &document, std::string_view site)
{
    if (site.empty()) {
        return document.base;
    }
    auto overlay = overlayOf(document, DataCentreId(std::string(site)));
    return overlay ? overlay : std::make_shared<const ConfigFile>();
}

Error makeError(ErrorKind kind, std::string message)
{
    return Error{kind, std::move(message), Execution::NotRun, std::nullopt};
}

std::string pathKey(std::string_view site, const std::vector<std::string> &keys)
{
    return std::string(site) + ':' + internal::joinPath(keys);
}

internal::SiteSources sourcesOf(const ConfigDocument &document, const DataCentreId &site)
{
    internal::SiteSources sources;
    sources.site = site;
    sources.base = document.base;
    sources.overlay = overlayOf(document, site);
    return sources;
}

std::optional<SiteConfig> resolve(const ConfigDocument &document,
                                  const internal::SiteSources &sources,
                                  LastReason &reason)
{
    FaultList faults;
    auto config = internal::buildSite(sources, faults);
    if (!config) {
        reason = faults.toError(ErrorKind::InvalidConfiguration);
        return std::nullopt;
    }
    config->revision = document.revision;
    return config;
}

// The file with the patch made, or null with `reason` filled.
std::shared_ptr<const ConfigFile> patchedFile(const ConfigDocument &document,
                                              const ConfigPatch &patch,
                                              const std::vector<std::string> &keys,
                                              LastReason &reason)
{
    FaultList faults;
    auto file = std::make_shared<ConfigFile>(*fileOfSite(document, patch.site));
    const std::string_view fileName = fileNameOf(patch.site);
    switch (internal::editFile(*file, keys, patch.value, fileName, faults)) {
    case internal::EditOutcome::Done:
        return file;
    case internal::EditOutcome::NothingThere:
        reason =
            makeError(ErrorKind::UnknownObject,
                      std::string(fileName) + ": " + patch.path + ": nothing stands there to remove; correct the path");
        return nullptr;
    case internal::EditOutcome::Faulty:
        reason = faults.toError(ErrorKind::InvalidConfiguration);
        return nullptr;
    }
    return nullptr;
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

// A long value would be held and sent many times over; fellows fetch the whole document instead.
void noteRecent(ConfigDocument &document, const ConfigPatch &patch)
{
    if (patch.value && patch.value->size() > MaxRecentValueBytes) {
        document.recent.clear();
        return;
    }
    document.recent.push_back({document.revision, patch});
    trimFront(document.recent, MaxRecentPatches);
}

// The document with the patched text and all records of the change.
ConfigDocument withChange(const ConfigDocument &document,
                          const ConfigPatch &patch,
                          const std::vector<std::string> &keys,
                          std::shared_ptr<const ConfigFile> file)
{
    ConfigDocument next = document;
    ++next.revision;
    if (patch.site.empty()) {
        next.base = std::move(file);
    } else if (keys.empty() && !patch.value) {
        next.overlays.erase(DataCentreId(patch.site));
    } else {
        next.overlays[DataCentreId(patch.site)] = std::move(file);
    }
    notePath(next, pathKey(patch.site, keys));
    next.history.push_back(
        {next.revision, patch.id, patch.author, patch.site, patch.path, patch.at, payloadHash(patch)});
    trimFront(next.history, MaxConfigHistory);
    noteRecent(next, patch);
    return next;
}

// A site that was invalid before (by a newer router's acceptance) must not stop changes that don't make it worse.
bool staysValid(const ConfigDocument &before,
                const ConfigDocument &after,
                const DataCentreId &site,
                const SiteConfig &base,
                LastReason &reason)
{
    LastReason fault;
    internal::SiteSources sources = sourcesOf(after, site);
    sources.previous = &base;
    if (resolve(after, sources, fault)) {
        return true;
    }
    LastReason ignored;
    if (before.revision > 0 && !resolve(before, sourcesOf(before, site), ignored)) {
        return true;
    }
    reason = fault;
    return false;
}

// A whole file that was just written by hand: its faults shall name the lines as its author sees them.
std::optional<internal::ParsedObjects> parsedWhole(const ConfigPatch &patch)
{
    FaultList ignored;
    const bool whole = patch.path.empty() && patch.value;
    return whole ? internal::parseObjects(*patch.value, fileNameOf(patch.site), ignored) : std::nullopt;
}

bool validateBase(const ConfigDocument &before,
                  const ConfigDocument &after,
                  const ConfigPatch &patch,
                  ConfigValidator &validator,
                  LastReason &reason)
{
    auto parsed = parsedWhole(patch);
    internal::SiteSources sources = sourcesOf(after, DataCentreId());
    sources.previous = validator.base ? &*validator.base : nullptr;
    sources.parsedBase = parsed ? &*parsed : nullptr;
    auto base = resolve(after, sources, reason);
    if (!base) {
        return false;
    }
    validator.base = std::move(base);
    return std::all_of(after.overlays.begin(), after.overlays.end(), [&](const auto &overlay) {
        return staysValid(before, after, overlay.first, *validator.base, reason);
    });
}

bool validateOverlay(const ConfigDocument &after,
                     const ConfigPatch &patch,
                     ConfigValidator &validator,
                     LastReason &reason)
{
    if (!validator.base || validator.base->base != after.base) {
        LastReason ignored;
        internal::SiteSources sources = sourcesOf(after, DataCentreId());
        sources.previous = validator.base ? &*validator.base : nullptr;
        validator.base = resolve(after, sources, ignored);
    }
    auto parsed = parsedWhole(patch);
    internal::SiteSources sources = sourcesOf(after, DataCentreId(patch.site));
    sources.previous = validator.base ? &*validator.base : nullptr;
    sources.parsedOverlay = parsed ? &*parsed : nullptr;
    return resolve(after, sources, reason).has_value();
}

nlohmann::json fileToJson(const ConfigFile &file)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[name, text] : file.objects) {
        json[name] = *text;
    }
    return json;
}

std::shared_ptr<const ConfigFile> fileFromJson(const nlohmann::json &json)
{
    auto file = std::make_shared<ConfigFile>();
    for (const auto &[name, text] : json.items()) {
        internal::setObject(*file, name, text.get<std::string>());
    }
    return file;
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
    read.revision = naturalNumber(entry.at(0));
    read.id = entry.at(1).get<std::string>();
    read.author = entry.at(2).get<std::string>();
    read.site = entry.at(3).get<std::string>();
    read.path = entry.at(4).get<std::string>();
    read.at = WallTime(std::chrono::milliseconds(entry.at(5).get<std::int64_t>()));
    read.payload = naturalNumber(entry.at(6));
    return read;
}

ConfigDocument documentFromJson(const nlohmann::json &json)
{
    ConfigDocument document;
    document.revision = naturalNumber(json.at("revision"));
    document.base = fileFromJson(json.at("base"));
    for (const auto &[site, file] : json.at("overlays").items()) {
        document.overlays.emplace(DataCentreId(site), fileFromJson(file));
    }
    document.pathRevisions = json.at("paths").get<std::map<std::string, std::uint64_t>>();
    document.pathFloor = naturalNumber(json.at("floor"));
    for (const auto &entry : json.at("history")) {
        document.history.push_back(historyFromJson(entry));
    }
    return document;
}

} // namespace

std::optional<SiteConfig> resolveSite(const ConfigDocument &document,
                                      const DataCentreId &site,
                                      LastReason &reason,
                                      const SiteConfig *previous)
{
    internal::SiteSources sources = sourcesOf(document, site);
    sources.previous = previous;
    return resolve(document, sources, reason);
}

std::optional<SiteConfig> resolveAcceptedSite(const ConfigDocument &document,
                                              const DataCentreId &site,
                                              LastReason &reason,
                                              const SiteConfig *previous)
{
    internal::SiteSources sources = sourcesOf(document, site);
    sources.unknown = UnknownKeys::Ignore;
    sources.previous = previous;
    return resolve(document, sources, reason);
}

std::optional<ConfigDocument> applyPatch(const ConfigDocument &document,
                                         const ConfigPatch &patch,
                                         LastReason &reason,
                                         ConfigValidator *validator)
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
    auto file = patchedFile(document, patch, *keys, reason);
    if (!file) {
        return std::nullopt;
    }
    ConfigDocument next = withChange(document, patch, *keys, std::move(file));
    ConfigValidator fresh;
    ConfigValidator &used = validator == nullptr ? fresh : *validator;
    const bool valid = patch.site.empty() ? validateBase(document, next, patch, used, reason)
                                          : validateOverlay(next, patch, used, reason);
    if (!valid) {
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
    auto file = patchedFile(document, applied.patch, *keys, ignored);
    if (!file) {
        return std::nullopt;
    }
    return withChange(document, applied.patch, *keys, std::move(file));
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
    return internal::textAt(*fileOfSite(document, site), *keys);
}

std::string encodeDocument(const ConfigDocument &document)
{
    nlohmann::json overlays = nlohmann::json::object();
    for (const auto &[site, file] : document.overlays) {
        overlays[site.value] = fileToJson(*file);
    }
    const nlohmann::json json = {
        {"revision", document.revision},
        {"base", fileToJson(*document.base)},
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
        return documentFromJson(parseJson(text));
    } catch (const nlohmann::json::exception &error) {
        reason = makeError(ErrorKind::Internal, std::string("stored configuration can't be read: ") + error.what());
        return std::nullopt;
    }
}

std::uint64_t documentDigest(const ConfigDocument &document)
{
    std::ostringstream parts;
    parts << document.revision << ' ' << document.pathFloor << ' ' << document.base->digest;
    for (const auto &[site, file] : document.overlays) {
        parts << ' ' << site << ' ' << file->digest;
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
