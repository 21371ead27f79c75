#pragma once

// Reading and changing ConfigFile values. Internal to this package.
//
// Example:
//   FaultList faults;
//   ConfigFile file;
//   editFile(file, {"customers", "dolna", "share"}, "2.0", "base", faults);

#include "godwit/config/config_file.h"
#include "godwit/config/toml_reader.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit::internal
{

// The tables that hold one table for each object.
constexpr std::string_view SectionNames[] = {"data_centres", "customers", "routes", "endpoints", "tokens"};

bool isSection(std::string_view name);

// Objects as parsed tables, which know their places in the text that they came from.
using ParsedObjects = std::map<std::string, toml::table>;

// Splits a whole file's text. Values that belong to no table are faults.
std::optional<ParsedObjects> parseObjects(std::string_view text, std::string_view fileName, FaultList &faults);

// Sets the text of one object, or removes it.
void setObject(ConfigFile &file, const std::string &name, std::optional<std::string> text);

// Prints inline tables as plain ones, hence not const.
ConfigFile fileOf(ParsedObjects &objects);

// Parses one object; an empty table when it is absent.
std::optional<toml::table> parseObject(const ConfigFile &file,
                                       const std::string &name,
                                       std::string_view fileName,
                                       FaultList &faults);

// What a patch does to a file.
enum class EditOutcome {
    Done,
    NothingThere, // A removal of what is absent.
    Faulty, // `faults` says why.
};

// Sets the value at `keys` to the TOML text `value`, or removes it. No keys: the whole file.
EditOutcome editFile(ConfigFile &file,
                     const std::vector<std::string> &keys,
                     const std::optional<std::string> &value,
                     std::string_view fileName,
                     FaultList &faults);

// The TOML text of what stands at `keys`, or nothing.
std::optional<std::string> textAt(const ConfigFile &file, const std::vector<std::string> &keys);

} // namespace Godwit::internal
