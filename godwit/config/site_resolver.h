#pragma once

// From the objects of base and overlay to a typed SiteConfig. Internal to this package.

#include "godwit/config/config_file.h"
#include "godwit/config/file_editor.h"
#include "godwit/config/site_config.h"
#include "godwit/config/toml_reader.h"

#include <memory>
#include <optional>

namespace Godwit::internal
{

// Overlays `over` on `base`, table by table; other values are replaced. Places in files are kept.
void mergeTables(toml::table &base, toml::table &&over);

struct SiteSources
{
    DataCentreId site; // Empty: the base alone.
    std::shared_ptr<const ConfigFile> base;
    std::shared_ptr<const ConfigFile> overlay; // Null: none.
    UnknownKeys unknown = UnknownKeys::Refuse;
    // A valid site read from other files, or null: objects that are the same there are taken from it.
    const SiteConfig *previous = nullptr;
    // Objects of a file that was just parsed whole, with their places in it; taken instead of parsing them again.
    ParsedObjects *parsedBase = nullptr;
    ParsedObjects *parsedOverlay = nullptr;
};

// Reads what differs from the previous site, then checks references between objects. Returns nothing when
// `faults` got any.
std::optional<SiteConfig> buildSite(const SiteSources &sources, FaultList &faults);

} // namespace Godwit::internal
