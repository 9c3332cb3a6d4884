// Parses the text of a TOML document and reports a syntax error as a fault with
// its line. Used for settings trees and for the settings file of a daemon.
//
// Example:
//   std::vector<SettingsFault> faults;
//   const std::optional<toml::table> root = ParseTomlDocument(text, faults);

#ifndef LACEWINGKNOT_SETTINGS_TOML_DOCUMENT_H_
#define LACEWINGKNOT_SETTINGS_TOML_DOCUMENT_H_

#include <toml++/toml.h>

#include <optional>
#include <string_view>
#include <vector>

#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

// Returns nullopt and adds one fault to `faults` if `text` is not valid TOML.
std::optional<toml::table> ParseTomlDocument(
    std::string_view text, std::vector<SettingsFault>& faults);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_SETTINGS_TOML_DOCUMENT_H_
