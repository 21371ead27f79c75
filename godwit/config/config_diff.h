#pragma once

// Patches that lead from one text of a file to another, for automation that writes whole files.
//
// A whole file that is written back conflicts with every change made since it was read. Patches of only the objects
// that its author changed don't, and leave all others as they are.
//
// Example:
//   LastReason reason;
//   const auto patches = patchesBetween(textThatWasRead, newText, {"", 41, "nightly-7", "automation"}, reason);

#include "godwit/base/error.h"
#include "godwit/config/config_document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// What all patches of one difference share.
struct DiffTag
{
    std::string site; // Empty: the base.
    std::uint64_t expectedRevision = 0; // At which the old text was read.
    std::string id; // Each patch gets this, a dash and its number.
    std::string author;
};

// Returns one patch for each object that differs, in an order in which each step is valid when the whole is: what is
// referred to is set before what refers to it, and removed after it. Fills `reason` with InvalidConfiguration when a
// text isn't TOML of objects. The patches are accepted one by one, not as a whole.
std::optional<std::vector<ConfigPatch>> patchesBetween(std::string_view oldText,
                                                       std::string_view newText,
                                                       const DiffTag &tag,
                                                       LastReason &reason);

} // namespace Godwit
