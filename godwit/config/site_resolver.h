#pragma once

// From merged TOML to a typed SiteConfig. Internal to this package.

#include "godwit/config/site_config.h"
#include "godwit/config/toml_reader.h"

#include <optional>
#include <string_view>

namespace Godwit::internal
{

// Overlays `over` on `base`, table by table; other values are replaced. Places in files are kept.
void mergeTables(toml::table &base, toml::table &&over);

// Reads every section and checks references between them. Returns nothing when `faults` got any.
std::optional<SiteConfig> readSite(const toml::table &merged, UnknownKeys unknown, FaultList &faults);

} // namespace Godwit::internal
