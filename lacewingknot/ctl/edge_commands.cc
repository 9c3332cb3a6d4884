#include "lacewingknot/ctl/edge_commands.h"

#include <iomanip>
#include <nlohmann/json.hpp>

#include "lacewingknot/ctl/internal/command_helpers.h"
#include "lacewingknot/edge/edge_settings.h"

namespace lacewingknot::ctl {
namespace {

using nlohmann::json;

// Columns of text output.
constexpr int kNameWidth = 24;
constexpr int kAddressWidth = 22;
constexpr int kReasonWidth = 14;

// Gets a JSON document from the daemon. On failure, prints the reason and
// returns an error.
Result<json> FetchJson(const std::string& daemon, const std::string& target,
                       Output& output) {
  BOOST_OUTCOME_TRY(reply,
                    internal::SendRequest(daemon, "GET", target, "", output));
  json document = json::parse(reply.body, nullptr, false);
  if (reply.status == internal::kHttpOk && !document.is_discarded()) {
    return document;
  }
  output.err << "lacewingknotctl: " << daemon << ": " << reply.body;
  return Error{ErrorType::kInvalidRequest,
               "status " + std::to_string(reply.status)};
}

// Reads and checks the settings file `file` into `parsed`. On failure, prints
// the reason. Returns the exit status.
int ReadEdgeSettings(const std::string& file, edge::ParsedEdgeSettings& parsed,
                     Output& output) {
  const Result<std::string> text = internal::ReadFile(file);
  if (!text) {
    output.err << text.error().detail << "\n";
    return kExitUsage;
  }
  parsed = edge::ParseEdgeSettings(text.value());
  if (parsed.faults.empty()) return kExitOk;
  internal::PrintFaults(file, parsed.faults, output);
  return kExitNegative;
}

}  // namespace

int CheckEdgeSettings(const std::string& file, Output output) {
  edge::ParsedEdgeSettings parsed;
  if (const int status = ReadEdgeSettings(file, parsed, output);
      status != kExitOk) {
    return status;
  }
  for (const std::string& key : parsed.ignored) {
    output.err << file << ": " << key << ": not known, ignored\n";
  }
  output.out << file << ": vm " << parsed.settings.vm << ", data centre "
             << parsed.settings.data_centre << "\n";
  return kExitOk;
}

int PrintMechanisms(const std::string& file, Output output) {
  edge::ParsedEdgeSettings parsed;
  if (!file.empty()) {
    const int status = ReadEdgeSettings(file, parsed, output);
    if (status != kExitOk) return status;
  }
  const MechanismSet& disabled = parsed.settings.disabled_mechanisms;
  json list = json::array();
  for (const MechanismInfo& info : AllMechanisms()) {
    const bool is_on = !disabled.Contains(info.mechanism);
    if (output.json) {
      list.push_back({{"name", info.name},
                      {"on", is_on},
                      {"description", info.description}});
      continue;
    }
    output.out << std::left << std::setw(kNameWidth) << info.name
               << (is_on ? "on   " : "off  ") << info.description << "\n";
  }
  if (output.json) output.out << list.dump() << "\n";
  return kExitOk;
}

int PrintEdgeStatus(const std::string& daemon, Output output) {
  const auto status = FetchJson(daemon, "/status", output);
  if (!status) return kExitUsage;
  if (output.json) {
    output.out << status.value().dump() << "\n";
    return kExitOk;
  }
  for (const auto& [name, value] : status.value().items()) {
    output.out << std::left << std::setw(kNameWidth) << name << value << "\n";
  }
  return kExitOk;
}

int ExplainEdgeUpstreams(const std::string& daemon, const std::string& service,
                         Output output) {
  const auto fetched = FetchJson(daemon, "/explain?service=" + service, output);
  if (!fetched) return kExitNegative;
  const json& answer = fetched.value();
  if (output.json) {
    output.out << answer.dump() << "\n";
    return kExitOk;
  }
  const std::string relay = answer.value("asked_through", "");
  output.out << "asked through         "
             << (relay.empty() ? "this daemon" : relay) << "\n"
             << "extra attempts left   " << answer.at("extra_attempts_left")
             << "\n";
  for (const json& upstream : answer.at("upstreams")) {
    output.out << std::left << std::setw(kNameWidth) << upstream.value("id", "")
               << std::setw(kAddressWidth) << upstream.value("address", "")
               << std::setw(kReasonWidth) << upstream.value("reason", "")
               << "slowness " << upstream.at("slowness") << ", failures "
               << upstream.at("failure_share") << ", in flight "
               << upstream.at("in_flight") << ", queued "
               << upstream.at("queued") << "\n";
  }
  return kExitOk;
}

int PrintTeams(const std::string& daemon, Output output) {
  const auto fetched = FetchJson(daemon, "/teams", output);
  if (!fetched) return kExitUsage;
  const json& report = fetched.value();
  if (output.json) {
    output.out << report.dump() << "\n";
    return kExitOk;
  }
  const json& teams = report.at("teams");
  output.out << report.at("count") << " teams, quotas "
             << (report.value("quotas_enforced", false) ? "" : "not ")
             << "enforced; admitted and refused by this daemon in the last "
             << report.at("seconds") << " s\n";
  for (const json& team : teams) {
    output.out << std::left << std::setw(kNameWidth) << team.value("name", "");
    const json& priority = team.at("priority");
    output.out << "priority "
               << (priority.is_null() ? "of the route" : priority.dump());
    if (team.contains("rate_per_second")) {
      output.out << ", rate " << team.at("rate_per_second") << "/s, burst "
                 << team.at("burst");
    } else {
      output.out << ", no limit";
    }
    if (team.contains("keeper")) {
      const std::string keeper = team.value("keeper", "");
      output.out << ", keeper " << (keeper.empty() ? "none" : keeper)
                 << ", tokens held " << team.at("tokens_held") << ", admitted "
                 << team.at("admitted") << ", refused " << team.at("refused");
    }
    output.out << "\n";
  }
  if (report.at("count") > teams.size()) {
    output.out << "the others are not shown\n";
  }
  return kExitOk;
}

}  // namespace lacewingknot::ctl
