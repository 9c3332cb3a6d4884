#include "lacewingknot/ctl/commands.h"

#include <iomanip>
#include <nlohmann/json.hpp>

#include "lacewingknot/ctl/internal/command_helpers.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot::ctl {
namespace {

using internal::kHttpOk;
using internal::PrintFaults;
using internal::ReadFile;
using internal::SendRequest;
using nlohmann::json;

void PrintRefusal(const json& answer, Output& output) {
  const json& error = answer.at("error");
  output.err << "refused: " << error.value("type", "") << " ("
             << error.value("ran", "") << ") " << error.value("detail", "")
             << "\n";
}

Result<std::string> LoadSettingsDocument(const std::string& file,
                                         const std::string& daemon,
                                         Output& output) {
  if (!file.empty()) {
    Result<std::string> text = ReadFile(file);
    if (!text) output.err << text.error().detail << "\n";
    return text;
  }
  BOOST_OUTCOME_TRY(reply,
                    SendRequest(daemon, "GET", "/v1/settings", "", output));
  return reply.body;
}

std::string BuildRequestBody(const RequestOptions& options,
                             const char* text_key) {
  json body = {{"service", options.service}, {text_key, options.text}};
  if (!options.id.empty()) body["id"] = options.id;
  if (options.deadline_ms > 0) body["deadline_ms"] = options.deadline_ms;
  return body.dump();
}

void PrintQueryAnswer(const json& answer, Output& output) {
  const json& coverage = answer.at("coverage");
  const json& attempts = answer.at("attempts");
  output.out << "service   " << answer.value("service", "") << "\n"
             << "version   " << answer.at("version") << "\n"
             << "coverage  " << coverage.at("answered") << " of "
             << coverage.at("asked") << " shards\n"
             << "attempts  " << attempts.at("sent") << " ("
             << attempts.at("retries") << " retries, " << attempts.at("hedges")
             << " hedges)\n";
  for (const json& shard : coverage.at("missing")) {
    output.out << "missing   " << shard.value("shard", "") << " ("
               << shard.value("reason", "") << ")\n";
  }
  std::size_t items = 0;
  for (const json& shard : answer.at("shards")) items += shard.size();
  output.out << "items     " << items << "\n";
}

}  // namespace

int CheckSettings(const std::string& file, Output output) {
  const Result<std::string> text = ReadFile(file);
  if (!text) {
    output.err << text.error().detail << "\n";
    return kExitUsage;
  }
  const ParsedSettings parsed = ParseSettings(text.value());
  if (!parsed.faults.empty()) {
    PrintFaults(file, parsed.faults, output);
    return kExitNegative;
  }
  if (output.json) {
    output.out << json{{"revision", parsed.tree->revision},
                       {"services", parsed.tree->services.size()},
                       {"upstreams", parsed.tree->upstreams.size()}}
                      .dump()
               << "\n";
  } else {
    output.out << file << ": revision " << parsed.tree->revision << ", "
               << parsed.tree->services.size() << " services, "
               << parsed.tree->upstreams.size() << " upstreams\n";
  }
  return kExitOk;
}

int PrintEffectiveSettings(const std::string& file, const std::string& daemon,
                           const std::string& service, Output output) {
  const Result<std::string> text = LoadSettingsDocument(file, daemon, output);
  if (!text) return kExitUsage;
  const ParsedSettings parsed = ParseSettings(text.value());
  if (!parsed.faults.empty()) {
    PrintFaults(file.empty() ? daemon : file, parsed.faults, output);
    return kExitNegative;
  }
  if (!parsed.tree->services.contains(service)) {
    output.err << "no service named " << service << "\n";
    return kExitNegative;
  }
  json all = json::object();
  for (const EffectiveSetting& setting :
       parsed.tree->EffectiveSettings(service)) {
    const std::string value = FormatValue(setting.value);
    if (output.json) {
      all[std::string(setting.info->name)] = {{"value", value},
                                              {"origin", setting.origin}};
    } else {
      output.out << std::left << std::setw(22) << setting.info->name
                 << std::setw(20) << value << setting.origin << "\n";
    }
  }
  if (output.json) output.out << all.dump() << "\n";
  return kExitOk;
}

int PrintStatus(const std::string& daemon, Output output) {
  const auto reply = SendRequest(daemon, "GET", "/v1/status", "", output);
  if (!reply) return kExitUsage;
  const json status = json::parse(reply.value().body);
  if (output.json) {
    output.out << status.dump() << "\n";
    return kExitOk;
  }
  const json& settings = status.at("settings");
  const json& list = status.at("vm_list");
  const json& peers = status.at("peers");
  output.out << "vm            " << status.value("vm", "") << "\n"
             << "ready         " << status.at("ready") << "\n"
             << "draining      " << status.at("draining") << "\n"
             << "platform      "
             << (status.at("platform_answers") ? "answers" : "does not answer")
             << "\n"
             << "settings      revision " << settings.at("revision")
             << ", confirmed " << settings.at("confirmed_ms_ago")
             << " ms ago, documents refused "
             << settings.at("refused_documents") << "\n"
             << "vm list       revision " << list.at("revision")
             << ", confirmed " << list.at("confirmed_ms_ago") << " ms ago\n"
             << "peers         " << peers.at("answering") << " of "
             << peers.at("tried") << " answer\n"
             << "permit        " << status.at("permit_ms_left") << " ms left\n"
             << "centres out   " << status.at("data_centres_out").dump()
             << "\n";
  return kExitOk;
}

int ExplainUpstreams(const std::string& daemon, const std::string& service,
                     Output output) {
  const auto reply =
      SendRequest(daemon, "GET", "/v1/explain?service=" + service, "", output);
  if (!reply) return kExitUsage;
  const json answer = json::parse(reply.value().body);
  if (output.json) {
    output.out << answer.dump() << "\n";
    return reply.value().status == kHttpOk ? kExitOk : kExitNegative;
  }
  if (reply.value().status != kHttpOk) {
    PrintRefusal(answer, output);
    return kExitNegative;
  }
  for (const json& upstream : answer.at("upstreams")) {
    output.out << std::left << std::setw(22) << upstream.value("upstream", "")
               << std::setw(20) << upstream.value("shard", "") << std::setw(12)
               << upstream.value("data_centre", "") << std::setw(4)
               << (upstream.at("usable") ? "yes" : "no")
               << upstream.value("reason", "") << " (level "
               << upstream.at("level") << ", allowance "
               << upstream.at("allowance") << ", in flight "
               << upstream.at("in_flight") << ")\n";
  }
  return kExitOk;
}

int SendQuery(const std::string& daemon, const RequestOptions& options,
              Output output) {
  const auto reply = SendRequest(daemon, "POST", "/v1/query",
                                 BuildRequestBody(options, "query"), output);
  if (!reply) return kExitUsage;
  const json answer = json::parse(reply.value().body);
  const bool refused = reply.value().status != kHttpOk;
  if (output.json) {
    output.out << answer.dump() << "\n";
  } else if (refused) {
    PrintRefusal(answer, output);
  } else {
    PrintQueryAnswer(answer, output);
  }
  if (refused) return kExitNegative;
  return answer.at("coverage").at("missing").empty() ? kExitOk : kExitNegative;
}

int SendWrite(const std::string& daemon, const RequestOptions& options,
              Output output) {
  // cpprestsdk may resend a request when a kept-alive connection breaks. This
  // process sends one request on one new connection, so it cannot run the write
  // twice.
  const auto reply = SendRequest(daemon, "POST", "/v1/write",
                                 BuildRequestBody(options, "body"), output);
  if (!reply) {
    output.err << "outcome   unknown\n";
    return kExitUsage;
  }
  const json answer = json::parse(reply.value().body);
  if (output.json) {
    output.out << answer.dump() << "\n";
  } else if (!answer.contains("outcome")) {
    PrintRefusal(answer, output);
  } else {
    output.out << "id        " << answer.value("id", "") << "\n"
               << "outcome   " << answer.value("outcome", "") << "\n";
    if (answer.contains("error")) {
      output.out << "reason    " << answer["error"].value("type", "") << "\n";
    }
  }
  return answer.value("outcome", "") == "done" ? kExitOk : kExitNegative;
}

}  // namespace lacewingknot::ctl
