#include "review/standins-2/fleet_settings.h"

#include <algorithm>
#include <fstream>
#include <thread>

#include "review/standins-2/http_stand_in.h"

namespace review {
namespace {

bool IsReady(const DaemonPlace& daemon, const DaemonPorts& ports) {
  const auto answer = Exchange(
      daemon.address, ports.ready,
      "GET /lacewingknot/readiness HTTP/1.1\r\nHost: " + daemon.address +
          "\r\n\r\n",
      std::chrono::milliseconds(1'000));
  return answer && StatusOf(*answer) == 200;
}

}  // namespace

DaemonPorts FreePorts() {
  const std::string address = "127.0.0.1";
  return {.front = FreePort(address),
          .ready = FreePort(address),
          .control = FreePort(address),
          .metrics = FreePort(address),
          .internal = FreePort(address)};
}

void WriteSettings(const std::string& directory,
                   const std::vector<DaemonPlace>& daemons,
                   const DaemonPorts& ports, const std::string& store) {
  std::string peers;
  for (std::size_t i = 0; i < std::min<std::size_t>(3, daemons.size()); ++i) {
    peers += (i == 0 ? "\"" : ", \"") + daemons[i].address + ":" +
             std::to_string(ports.control) + "\"";
  }
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const std::string& address = daemons[i].address;
    const auto listen = [&](const char* key, int port) {
      return std::string(key) + " = \"" + address + ":" + std::to_string(port) +
             "\"\n";
    };
    std::ofstream file(directory + "/d" + std::to_string(i + 1) + ".toml");
    file << "vm = \"d" << i + 1 << "\"\n"
         << "data_centre = \"" << daemons[i].data_centre << "\"\n"
         << listen("listen", ports.front)
         << listen("readiness_listen", ports.ready)
         << listen("control_listen", ports.control)
         << listen("metrics_listen", ports.metrics)
         << listen("gossip_listen", ports.internal) << "peers = [" << peers
         << "]\n"
         << "store = \"" << store << "\"\n"
         << "store_max_staleness_ms = 4000\n"
         << "changes_in_force_ms = 3000\n"
         << "upstream_drain_ms = 3000\n"
         << "store_contents_by_peers = true\n"
         << "log_level = \"info\"\n"
         << "processor_share = 0.25\n"
         << "[extra_load]\nratio = 0.2\nattempts = 52\n"
         << "[stop]\ngrace_seconds = 6\n";
  }
  std::ofstream(directory + "/written") << daemons.size() << "\n";
}

bool AwaitReady(const std::vector<DaemonPlace>& daemons,
                const DaemonPorts& ports, std::chrono::seconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (std::all_of(daemons.begin(), daemons.end(),
                    [&](const DaemonPlace& daemon) {
                      return IsReady(daemon, ports);
                    })) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

}  // namespace review
