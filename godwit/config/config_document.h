#pragma once

// The operators' configuration: a base and one overlay for each site, as one revision of plain text.
//
// A site is a data centre. resolveSite() merges the base with the overlay of one site and returns typed maps; the
// overlay of another site can't make it fail. Changes are ConfigPatch values on dotted paths: a patch conflicts
// only when its own path, a parent or a child of it changed after the revision that its author saw.
//
// Example:
//   LastReason reason;
//   ConfigPatch patch{"", "customers.dolna.share", "3.0", 41, "change-7", "owner", wallNow};
//   const auto next = applyPatch(document, patch, reason);
//   const auto site = resolveSite(*next, DataCentreId{"salt-lake"}, reason);
//   const CustomerConfig *customer = customerByKeyDigest(*site, sha256Hex, wallNow);

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/config/config_file.h"
#include "godwit/config/site_config.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// One change that an operator or automation asks for.
struct ConfigPatch
{
    std::string site; // Empty: the base.
    // Dotted keys, quoted where needed: `customers.dolna.share`, `customers."a.b".share`. Empty: the whole file.
    std::string path;
    // TOML text of the new value, such as `3.0`, `"text"` or `{ share = 2.0 }`; for an empty path the whole file's
    // text. Absent: remove.
    std::optional<std::string> value;
    std::uint64_t expectedRevision = 0; // The last revision at which the author saw this path.
    std::string id; // Idempotency key: the same id changes the document at most once.
    std::string author;
    WallTime at{}; // Stamped by the router that accepts it.
};

// A patch with the revision that it made.
struct AppliedPatch
{
    std::uint64_t revision = 0;
    ConfigPatch patch;
};

// Who changed what and when. Values are left out; `payload` is a hash of them.
struct ConfigHistoryEntry
{
    std::uint64_t revision = 0;
    std::string id;
    std::string author;
    std::string site;
    std::string path;
    WallTime at{};
    std::uint64_t payload = 0;
};

// The newest entries are kept; older ones are trimmed. A change sent again after its id was trimmed is still not
// applied twice: its own first application makes it conflict.
constexpr std::size_t MaxConfigHistory = 512;
// Paths whose last change is known one by one. For others `pathFloor` stands in.
constexpr std::size_t MaxPathRevisions = 4096;
// The newest patches with their values, from which fellows that are a little behind are brought up.
constexpr std::size_t MaxRecentPatches = 128;
constexpr std::size_t MaxRecentValueBytes = 16UL * 1024;
constexpr std::size_t MaxPatchPathBytes = 512;
constexpr std::size_t MaxPatchPathDepth = 12;
constexpr std::size_t MaxPatchValueBytes = 4UL * 1024 * 1024;

struct ConfigDocument
{
    std::uint64_t revision = 0; // 0: nothing was ever accepted.
    // Files are shared between documents and never null.
    std::shared_ptr<const ConfigFile> base = std::make_shared<const ConfigFile>();
    std::map<DataCentreId, std::shared_ptr<const ConfigFile>> overlays;
    // "site:path" and the revision that last changed it.
    std::map<std::string, std::uint64_t> pathRevisions;
    // Paths that are absent from `pathRevisions` last changed at or before this revision.
    std::uint64_t pathFloor = 0;
    std::vector<ConfigHistoryEntry> history; // Oldest first.
    // Oldest first, without gaps up to `revision`; emptied by a patch with a longer value than
    // MaxRecentValueBytes. Not part of the stored document.
    std::vector<AppliedPatch> recent;
};

// What applyPatch() read for its checks, so that the next check reads only what differs.
struct ConfigValidator
{
    std::optional<SiteConfig> base;
};

// Merges base and overlay of `site` and checks every key. Fills `reason` with InvalidConfiguration naming file
// ("base" or the site), line, key and remedy. Overlays of other sites are not looked at;
// an empty site stands for the base alone. `previous`, the site of another revision, saves reading what is the same.
std::optional<SiteConfig> resolveSite(const ConfigDocument &document,
                                      const DataCentreId &site,
                                      LastReason &reason,
                                      const SiteConfig *previous = nullptr);

// As resolveSite(), but passes over keys that this version does not know. For documents that were accepted
// already, perhaps by a newer router.
std::optional<SiteConfig> resolveAcceptedSite(const ConfigDocument &document,
                                              const DataCentreId &site,
                                              LastReason &reason,
                                              const SiteConfig *previous = nullptr);

// Returns the document with `patch` applied, one revision higher and valid for each site that was valid before.
// Fills `reason` with RevisionConflict (path and the revision that changed it), InvalidConfiguration,
// MalformedRequest or PayloadDiffers (the id was used for another change). The patch must not have been applied
// already: ask appliedRevision() first. A validator that is kept from call to call makes checks cheap.
std::optional<ConfigDocument> applyPatch(const ConfigDocument &document,
                                         const ConfigPatch &patch,
                                         LastReason &reason,
                                         ConfigValidator *validator = nullptr);

// Repeats a patch that was accepted as `applied.revision`, without checks. Precondition: the document stands at
// the revision before. Returns nothing when the texts don't take the patch.
std::optional<ConfigDocument> replayPatch(const ConfigDocument &document, const AppliedPatch &applied);

// Returns the revision that the change with this patch's id made, while history knows it. Fills `reason` with
// PayloadDiffers when the id belongs to another change.
std::optional<std::uint64_t> appliedRevision(const ConfigDocument &document,
                                             const ConfigPatch &patch,
                                             LastReason &reason);

// Returns the revision that last changed the path, its parents or its children: what an author who reads the
// path now should send as expectedRevision is the document's revision; this one tells since when it stands.
std::uint64_t lastChanged(const ConfigDocument &document, std::string_view site, std::string_view path);

// Returns the TOML text of the value at `path` of base or overlay, or nothing when it is absent.
std::optional<std::string> valueAt(const ConfigDocument &document, std::string_view site, std::string_view path);

// The stored form, without `recent`.
std::string encodeDocument(const ConfigDocument &document);
std::optional<ConfigDocument> decodeDocument(std::string_view text, LastReason &reason);

// A hash of everything that decides how the document reads: equal on all routers at the same revision.
std::uint64_t documentDigest(const ConfigDocument &document);

} // namespace Godwit
