// fake_upstreams: runs a fake for every upstream of a settings document.
//
//   fake_upstreams -s settings.toml -a 20001 --warm
//
// `POST /admin/fault?upstream=NAME&KEY=VALUE` switches a fault of the upstream
// NAME; a NAME that ends in `*` selects all upstreams with that prefix.
// `GET /admin/stats` returns the counts of all upstreams as JSON.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lacewingknot/net/http_connection.h"
#include "lacewingknot/settings/tree.h"
#include "testing/fake_upstream.h"

namespace {

using lacewingknot::testing::FakeConnection;
using lacewingknot::testing::FakeHttpServer;
using lacewingknot::testing::FakeRequest;
using lacewingknot::testing::FakeUpstream;
using lacewingknot::testing::UpstreamCounts;
using lacewingknot::testing::UpstreamFaults;

using Upstreams = std::vector<std::unique_ptr<FakeUpstream>>;

std::vector<std::uint64_t> ParseVersions(const std::string& text) {
  std::vector<std::uint64_t> versions;
  std::stringstream stream(text);
  for (std::string version; std::getline(stream, version, ',');) {
    versions.push_back(std::stoull(version));
  }
  return versions;
}

// Sets the boolean fault named `key`; ignores unknown names.
void SetFault(UpstreamFaults& faults, const std::string& key, bool value) {
  const std::map<std::string, bool UpstreamFaults::*> flags{
      {"draining", &UpstreamFaults::draining},
      {"shed", &UpstreamFaults::shed},
      {"crossed", &UpstreamFaults::mismatched_attempt},
      {"truncated", &UpstreamFaults::truncated},
      {"short_items", &UpstreamFaults::short_items},
      {"wrong_version", &UpstreamFaults::wrong_version},
      {"wrong_shard", &UpstreamFaults::wrong_shard},
      {"drop_after_run", &UpstreamFaults::drop_after_run},
      {"drop_before_run", &UpstreamFaults::drop_before_run}};
  const auto flag = flags.find(key);
  if (flag != flags.end()) faults.*(flag->second) = value;
}

void ApplyFault(FakeUpstream& upstream, const std::string& key,
                const std::string& value) {
  if (key == "versions") {
    upstream.set_versions(ParseVersions(value));
  } else if (key == "down") {
    upstream.SetDown(value == "1");
  } else if (key == "restart") {
    upstream.Restart(value == "cold");
  } else if (key == "silence") {
    upstream.SilenceConnections();
  } else if (key == "service_us") {
    upstream.set_service_time(std::chrono::microseconds(std::stoll(value)));
  } else if (key == "straggle_fraction") {
    upstream.faults().straggle_fraction = std::stod(value);
  } else if (key == "straggle_ms") {
    upstream.faults().straggle_time =
        std::chrono::milliseconds(std::stoll(value));
  } else {
    SetFault(upstream.faults(), key, value == "1");
  }
}

nlohmann::json StatsJson(const FakeUpstream& upstream) {
  const UpstreamCounts& counts = upstream.counts();
  return {{"queries", counts.queries},
          {"writes", counts.writes},
          {"writes_repeated", counts.writes_repeated},
          {"cancelled", counts.cancelled},
          {"most_concurrent", counts.peak_concurrency},
          {"cold_excess", counts.cold_excess},
          {"falls", counts.crashes},
          {"while_draining", counts.received_while_draining},
          {"restarts", counts.restarts},
          {"warm", upstream.warm()},
          {"connections", upstream.server().open_connections()},
          {"most_connections", upstream.server().peak_connections()},
          {"connections_refused", upstream.server().connections_refused()}};
}

void OnAdminRequest(Upstreams& upstreams, const FakeRequest& request,
                    const std::shared_ptr<FakeConnection>& connection) {
  if (request.path == "/admin/fault") {
    const auto pattern = request.parameters.find("upstream");
    for (const auto& upstream : upstreams) {
      if (pattern == request.parameters.end()) break;
      const bool matches = pattern->second == "*" ||
                           pattern->second == upstream->name() ||
                           (pattern->second.ends_with('*') &&
                            upstream->name().starts_with(pattern->second.substr(
                                0, pattern->second.size() - 1)));
      if (!matches) continue;
      for (const auto& [key, value] : request.parameters) {
        if (key != "upstream") ApplyFault(*upstream, key, value);
      }
    }
  }
  nlohmann::json stats;
  nlohmann::json writes = nlohmann::json::object();
  for (const auto& upstream : upstreams) {
    stats[upstream->name()] = StatsJson(*upstream);
    for (const auto& [id, runs] : upstream->write_runs()) {
      writes[id] = writes.value(id, 0) + runs;
    }
  }
  connection->Reply(
      {.body = nlohmann::json{{"upstreams", stats}, {"write_runs", writes}}
                   .dump()});
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Fake upstreams", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> settings_arg(
      "s", "settings", "Settings document", true, "", "FILE", command);
  TCLAP::ValueArg<int> admin_arg("a", "admin-port", "Port for faults and stats",
                                 true, 0, "PORT", command);
  TCLAP::ValueArg<int> service_arg("", "service-us", "Median service time, us",
                                   false, 5'000, "US", command);
  TCLAP::ValueArg<int> connect_arg("", "connect-ms",
                                   "Delay of a new connection, ms", false, 6,
                                   "MS", command);
  TCLAP::SwitchArg warm_arg("", "warm", "Start warm", command);
  TCLAP::ValueArg<unsigned> seed_arg("", "seed", "Random seed", false, 1, "N",
                                     command);
  command.parse(argc, argv);
  std::ifstream file(settings_arg.getValue());
  std::stringstream text;
  text << file.rdbuf();
  const auto parsed = lacewingknot::ParseSettings(text.str());
  if (parsed.tree == nullptr) {
    std::cerr << "the settings document is not valid\n";
    return 2;
  }
  boost::asio::io_context io(1);
  Upstreams upstreams;
  for (const auto& [name, node] : parsed.tree->upstreams) {
    const auto policy = parsed.tree->EffectivePolicy(node.service);
    const auto endpoint = lacewingknot::ParseEndpoint(node.address);
    upstreams.push_back(std::make_unique<FakeUpstream>(
        io,
        FakeUpstream::Options{
            .name = name,
            .shard = node.service,
            .port = endpoint.value().port(),
            .slots = static_cast<std::size_t>(policy.slots),
            .max_connections = static_cast<std::size_t>(policy.connections),
            .connect_delay = std::chrono::milliseconds(connect_arg.getValue()),
            .service_time = std::chrono::microseconds(service_arg.getValue()),
            .starts_cold = !warm_arg.getValue(),
            .seed = seed_arg.getValue() + upstreams.size()}));
  }
  FakeHttpServer admin(
      io, {.port = static_cast<std::uint16_t>(admin_arg.getValue()),
           .handler = [&](const FakeRequest& request,
                          const std::shared_ptr<FakeConnection>& connection) {
             OnAdminRequest(upstreams, request, connection);
           }});
  std::cout << "upstreams " << upstreams.size() << " seed "
            << seed_arg.getValue() << std::endl;
  io.run();
  return 0;
}
