#pragma once

// One TOML file of the configuration, kept object by object.
//
// A change touches one object of perhaps thousands. Kept as one text, each change would mean parsing and writing
// all of it on every router's control thread; kept as objects, only one is parsed, and files share the rest.
//
// Example:
//   file.objects.at("customers.dolna"); // "share = 2.0"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Godwit
{

struct ConfigFile
{
    // An object is a table of a section, such as `customers.dolna`, or another table of the top, such as `limits`;
    // its text is TOML of its inside. Never null. Equal pointers mean equal texts.
    std::map<std::string, std::shared_ptr<const std::string>> objects;
    std::uint64_t digest = 0; // Of all objects.
};

} // namespace Godwit
