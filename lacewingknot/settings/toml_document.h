// Parses a TOML document into a table, or a fault with its line.

#ifndef LACEWINGKNOT_SETTINGS_TOML_DOCUMENT_H_
#define LACEWINGKNOT_SETTINGS_TOML_DOCUMENT_H_

#include <toml++/toml.h>

#include <optional>
#include <string_view>
#include <vector>

#include "lacewingknot/settings/tree.h"

namespace lacewingknot {

// Empty, with one fault added to `faults`, if `text` is no TOML.
std::optional<toml::table> ParseTomlDocument(
    std::string_view text, std::vector<SettingsFault>& faults);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_SETTINGS_TOML_DOCUMENT_H_
