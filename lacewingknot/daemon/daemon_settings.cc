#include "lacewingknot/daemon/daemon_settings.h"

#include <array>
#include <utility>

#include "lacewingknot/settings/toml_document.h"

namespace lacewingknot {
namespace {

class Parser {
 public:
  ParsedDaemonSettings Parse(std::string_view text);

 private:
  void AddFault(const toml::node& node, std::string_view key,
                std::string problem, std::string accepted);
  void ReadText(const toml::table& root, std::string_view key,
                std::string& value);
  void ReadInteger(const toml::table& root, std::string_view key,
                   std::int64_t min, std::int64_t max, std::int64_t& value);
  void ReadDrainNotice(const toml::table& root);
  void ReadLogLevel(const toml::table& root);
  void RefuseUnknownKeys(const toml::table& root);

  ParsedDaemonSettings parsed_;
};

void Parser::AddFault(const toml::node& node, std::string_view key,
                      std::string problem, std::string accepted) {
  parsed_.faults.push_back({.line = node.source().begin.line,
                            .key = std::string(key),
                            .problem = std::move(problem),
                            .accepted = std::move(accepted)});
}

void Parser::ReadText(const toml::table& root, std::string_view key,
                      std::string& value) {
  const toml::node* node = root.get(key);
  if (node == nullptr) {
    AddFault(root, key, "missing", "text in quotes");
    return;
  }
  const auto text = node->value_exact<std::string>();
  if (!text || text->empty()) {
    AddFault(*node, key, "wrong type", "text in quotes");
    return;
  }
  value = *text;
}

void Parser::ReadInteger(const toml::table& root, std::string_view key,
                         std::int64_t min, std::int64_t max,
                         std::int64_t& value) {
  const toml::node* node = root.get(key);
  if (node == nullptr) return;
  const auto number = node->value_exact<std::int64_t>();
  if (number && *number >= min && *number <= max) {
    value = *number;
    return;
  }
  AddFault(*node, key, "wrong type or range",
           "a whole number from " + std::to_string(min) + " to " +
               std::to_string(max));
}

void Parser::ReadDrainNotice(const toml::table& root) {
  const toml::node* node = root.get("drain_notice");
  if (node == nullptr) return;
  const auto text = node->value_exact<std::string>();
  const auto notice = text ? ParseDuration(*text) : std::nullopt;
  constexpr Duration kMaxNotice = std::chrono::minutes(5);
  if (notice && *notice <= kMaxNotice) {
    parsed_.settings.drain_notice = *notice;
    return;
  }
  AddFault(*node, "drain_notice", "not an accepted duration",
           "a duration with a unit, at most 300s");
}

void Parser::ReadLogLevel(const toml::table& root) {
  const toml::node* node = root.get("log_level");
  if (node == nullptr) return;
  const auto text = node->value_exact<std::string>();
  if (const auto level = LogLevelFromName(text.value_or(""))) {
    parsed_.settings.log_level = *level;
    return;
  }
  AddFault(*node, "log_level", "not a level",
           "\"debug\", \"info\", \"warning\" or \"error\"");
}

void Parser::RefuseUnknownKeys(const toml::table& root) {
  constexpr std::array<std::string_view, 10> kKnown{
      "vm",           "data_centre",   "listen",       "peer_listen",
      "platform",     "log_level",     "drain_notice", "http_threads",
      "max_sessions", "max_body_bytes"};
  for (const auto& [key, node] : root) {
    const std::string_view name = key.str();
    if (std::find(kKnown.begin(), kKnown.end(), name) == kKnown.end()) {
      AddFault(node, name, "unknown key", "see docs/operators/settings.md");
    }
  }
}

ParsedDaemonSettings Parser::Parse(std::string_view text) {
  const auto document = ParseTomlDocument(text, parsed_.faults);
  if (!document) return parsed_;
  const toml::table& root = *document;
  RefuseUnknownKeys(root);
  DaemonSettings& settings = parsed_.settings;
  ReadText(root, "vm", settings.vm);
  ReadText(root, "data_centre", settings.data_centre);
  ReadText(root, "listen", settings.listen);
  ReadText(root, "peer_listen", settings.peer_listen);
  ReadText(root, "platform", settings.platform);
  ReadLogLevel(root);
  ReadDrainNotice(root);
  ReadInteger(root, "http_threads", 1, 64, settings.http_threads);
  ReadInteger(root, "max_sessions", 1, 100'000, settings.max_sessions);
  ReadInteger(root, "max_body_bytes", 1'024, 16 << 20, settings.max_body_bytes);
  return parsed_;
}

}  // namespace

ParsedDaemonSettings ParseDaemonSettings(std::string_view text) {
  return Parser().Parse(text);
}

}  // namespace lacewingknot
