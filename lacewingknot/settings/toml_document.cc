#include "lacewingknot/settings/toml_document.h"

#include <string>

namespace lacewingknot {

std::optional<toml::table> ParseTomlDocument(
    std::string_view text, std::vector<SettingsFault>& faults) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    faults.push_back({.line = error.source().begin.line,
                      .key = "document",
                      .problem = std::string(error.description()),
                      .accepted = "a TOML document"});
    return std::nullopt;
  }
}

}  // namespace lacewingknot
