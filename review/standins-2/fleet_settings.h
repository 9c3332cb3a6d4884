// Settings files of daemons on loopback addresses, as the deploy file's
// template makes them for a small deployment.

#ifndef REVIEW_STANDINS_2_FLEET_SETTINGS_H_
#define REVIEW_STANDINS_2_FLEET_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

namespace review {

struct DaemonPlace {
  std::string address;
  std::string data_centre;
};

// The same on all daemons of a deployment.
struct DaemonPorts {
  int front = 0;
  int ready = 0;
  int control = 0;
  int metrics = 0;
  int internal = 0;  // First of two.
};

DaemonPorts FreePorts();

// Writes DIRECTORY/d1.toml and so on, and then DIRECTORY/written.
void WriteSettings(const std::string& directory,
                   const std::vector<DaemonPlace>& daemons,
                   const DaemonPorts& ports, const std::string& store);

// Waits until all daemons answer the readiness check with 200.
bool AwaitReady(const std::vector<DaemonPlace>& daemons,
                const DaemonPorts& ports, std::chrono::seconds timeout);

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLEET_SETTINGS_H_
