#include "lacewingknot/ctl/explain_request.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "lacewingknot/ctl/internal/command_helpers.h"
#include "lacewingknot/net/query_value.h"

namespace lacewingknot::ctl {
namespace {

using nlohmann::json;

// Columns of text output.
constexpr int kLabelWidth = 11;
constexpr int kIdWidth = 22;
constexpr int kAddressWidth = 22;
constexpr int kDataCentreWidth = 12;
constexpr int kStateWidth = 14;
constexpr double kMicrosPerMilli = 1'000;

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

// Reads the key from the first line of `file`. The error does not name `file`,
// which is the key itself if an operator mistakes the option.
Result<std::string> ReadKey(const std::string& file) {
  std::ifstream opened;
  if (file != "-") opened.open(file);
  std::istream& stream = file == "-" ? std::cin : opened;
  std::string key;
  if (!std::getline(stream, key)) {
    return Error{ErrorType::kInvalidRequest,
                 "--key-file: cannot be read or is empty"};
  }
  if (key.ends_with('\r')) key.pop_back();
  if (key.empty() || !IsPrintable(key)) {
    return Error{ErrorType::kInvalidRequest,
                 "--key-file: the first line is no key"};
  }
  return key;
}

// Begins a line of text output.
std::ostream& Line(std::ostream& out, std::string_view label) {
  return out << std::left << std::setw(kLabelWidth) << label;
}

std::string Text(const json& object, const char* name) {
  return object.value(name, std::string());
}

void PrintConfiguration(const json& explanation, std::ostream& out) {
  Line(out, "daemon") << Text(explanation, "vm") << " in "
                      << Text(explanation, "data_centre") << "\n";
  if (!explanation.contains("configuration")) {
    Line(out, "config") << "none yet\n";
    return;
  }
  const json& config = explanation["configuration"];
  Line(out, "config") << "version " << config.at("version")
                      << ", in force here for " << config.at("in_force_ms")
                      << " ms";
  if (explanation.contains("store_confirmed_ms")) {
    out << ", store confirmed " << explanation["store_confirmed_ms"]
        << " ms ago";
  }
  out << "\n";
  Line(out, "upstreams") << "revision " << config.at("upstreams_revision")
                         << ", confirmed " << config.at("upstreams_age_ms")
                         << " ms ago\n";
}

void PrintTeam(const json& explanation, std::ostream& out) {
  if (explanation.contains("team")) {
    const json& team = explanation["team"];
    Line(out, "team") << Text(team, "name");
    if (team.contains("priority")) out << ", priority " << team["priority"];
    out << ", rate " << team.at("rate_per_second") << "/s, burst "
        << team.at("burst") << "\n";
  } else {
    Line(out, "team") << "none\n";
  }
  if (!explanation.contains("quota")) return;
  const json& quota = explanation["quota"];
  Line(out, "quota") << Text(quota, "state") << ", tokens held here "
                     << quota.at("held_tokens")
                     << (quota.at("without_keeper")
                             ? ", decided without a keeper"
                             : "")
                     << "\n";
}

void PrintRoute(const json& explanation, std::ostream& out) {
  if (!explanation.contains("route")) {
    Line(out, "route") << "none\n";
    return;
  }
  const json& route = explanation["route"];
  Line(out, "route") << Text(route, "name") << " (" << Text(route, "host")
                     << Text(route, "prefix") << "), " << Text(route, "kind")
                     << (route.at("may_repeat") ? "" : ", at most once")
                     << (route.at("public") ? ", public" : "") << ", priority "
                     << route.at("priority") << ", objective "
                     << route.at("objective_ms") << " ms, limit "
                     << route.at("timeout_ms") << " ms\n";
}

void PrintReplica(const json& replica, std::ostream& out) {
  const std::string passed_over = Text(replica, "passed_over");
  const bool is_chosen = replica.at("chosen").get<bool>();
  out << (is_chosen ? "  > " : "    ") << std::left << std::setw(kIdWidth)
      << Text(replica, "id") << std::setw(kAddressWidth)
      << Text(replica, "address") << std::setw(kDataCentreWidth)
      << Text(replica, "data_centre") << std::setw(kStateWidth)
      << Text(replica, "state") << "limit ";
  if (replica.contains("limit")) {
    out << replica["limit"];
  } else {
    out << "-";
  }
  out << ", in flight " << replica.at("in_flight") << ", queued "
      << replica.at("queued") << ", expected " << std::fixed
      << std::setprecision(1)
      << replica.at("expected_us").get<double>() / kMicrosPerMilli << " ms";
  if (!passed_over.empty()) {
    out << ", not used: " << passed_over;
  } else if (!replica.at("has_room").get<bool>()) {
    out << ", no room";
  }
  out << "\n";
}

void PrintPlacement(const json& placement, bool is_shard, std::ostream& out) {
  const std::string relay = Text(placement, "relay");
  const std::string cause = Text(placement, "cause");
  Line(out, is_shard ? "shard" : "service")
      << Text(placement, "service") << ": " << Text(placement, "placement");
  if (!relay.empty()) {
    out << " " << relay << " in " << Text(placement, "data_centre");
  }
  if (!cause.empty()) out << ", " << cause;
  if (placement.contains("starts_in_ms")) {
    out << ", starts in " << placement["starts_in_ms"] << " ms";
  }
  out << ", " << placement.at("usable_replicas") << " of "
      << placement.at("all_replicas") << " replicas usable\n";
  for (const json& replica : placement.at("replicas")) {
    PrintReplica(replica, out);
  }
  const std::size_t hidden = placement.at("all_replicas").get<std::size_t>() -
                             placement.at("replicas").size();
  if (hidden > 0) out << "    " << hidden << " more\n";
}

void PrintQuery(const json& explanation, std::ostream& out) {
  const json& shards = explanation.at("shards");
  const json& admission = explanation.at("admission");
  Line(out, "admission") << (admission.at("admits") ? "admits" : "refuses")
                         << ", refused share " << admission.at("refused_share")
                         << "\n";
  Line(out, "shards") << shards.at("total") << ": " << shards.at("direct")
                      << " direct, " << shards.at("relay")
                      << " through relays, " << shards.at("waits") << " wait, "
                      << shards.at("none")
                      << " without a replica; least coverage "
                      << explanation.at("route").at("min_coverage") << "\n";
}

void PrintVerdict(const json& verdict, std::ostream& out) {
  Line(out, "verdict") << Text(verdict, "outcome");
  if (verdict.contains("status")) out << " with " << verdict["status"];
  const std::string cause = Text(verdict, "cause");
  if (!cause.empty()) out << ", " << cause;
  if (verdict.contains("retry_after_ms")) {
    out << ", Retry-After " << std::fixed << std::setprecision(3)
        << verdict["retry_after_ms"].get<double>() / kMicrosPerMilli << " s";
  }
  if (verdict.contains("starts_in_ms")) {
    out << ", starts in " << verdict["starts_in_ms"] << " ms";
  }
  out << "\n";
}

}  // namespace

void PrintRequestExplanation(const json& explanation, std::ostream& out) {
  PrintConfiguration(explanation, out);
  PrintRoute(explanation, out);
  PrintTeam(explanation, out);
  const bool is_query = explanation.contains("shards");
  if (is_query) PrintQuery(explanation, out);
  const json& placements = explanation.at("placements");
  for (const json& placement : placements) {
    PrintPlacement(placement, is_query, out);
  }
  if (is_query) {
    const std::size_t hidden =
        explanation["shards"].at("total").get<std::size_t>() -
        placements.size();
    if (hidden > 0) out << "and " << hidden << " more shards\n";
  }
  PrintVerdict(explanation.at("verdict"), out);
}

int ExplainRequest(const std::string& daemon,
                   const ExplainRequestOptions& options, Output output) {
  if (options.host.empty()) {
    output.err << "lacewingknotctl: explain-request needs --host\n";
    return kExitUsage;
  }
  HttpClient::Headers headers;
  if (!options.key_file.empty()) {
    const Result<std::string> key = ReadKey(options.key_file);
    if (!key) {
      output.err << "lacewingknotctl: " << key.error().detail << "\n";
      return kExitUsage;
    }
    headers["Authorization"] = "Bearer " + key.value();
  }
  const std::string target =
      "/explain-request?host=" + EncodeQueryValue(options.host) +
      "&path=" + EncodeQueryValue(options.path);
  const auto reply =
      internal::SendRequest(daemon, "GET", target, "", output, headers);
  if (!reply) return kExitUsage;
  const json explanation = json::parse(reply.value().body, nullptr, false);
  if (reply.value().status != internal::kHttpOk || explanation.is_discarded()) {
    output.err << "lacewingknotctl: " << daemon << ": " << reply.value().body;
    return kExitUsage;
  }
  if (output.json) {
    output.out << explanation.dump() << "\n";
  } else {
    PrintRequestExplanation(explanation, output.out);
  }
  return explanation.at("verdict").contains("status") ? kExitNegative : kExitOk;
}

}  // namespace lacewingknot::ctl
