// make_shape: writes the files of a fleet that has one of the users' shapes,
// which are their numbers of services, upstreams, slots and connections.
//
//   make_shape --shape glenbracken --daemons 3 --base-port 20000 --dir /tmp/f
//
// Writes settings.toml, vms.json and, for each daemon, vm-N.toml into DIR. The
// platform listens on the base port, the admin port of fake_upstreams is the
// next, daemon N listens for callers at base + 10 + N and for peers at
// base + 600 + N, and upstreams use the ports from base + 1200 on.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

struct Group {
  std::string name;
  int services;
  int upstreams;  // For each service.
  int slots;
  int connections;
};

struct Shape {
  std::vector<std::string> data_centres;
  std::vector<Group> groups;
};

Shape ShapeByName(const std::string& name) {
  if (name == "chequecraft") {
    return {{"regina", "saskatoon", "brandon"},
            {{"wicket", 20, 2, 2, 25},
             {"ledger-sync", 30, 2, 2, 25},
             {"proofroom", 1, 5, 4, 45},
             {"plate-shop", 1, 3, 4, 45}}};
  }
  return {{"north", "centre", "south"},
          {{"availability", 20, 2, 2, 25},
           {"planting-plan", 30, 2, 2, 25},
           {"invoicing", 1, 13, 3, 100},
           {"supplier-desk", 1, 6, 3, 100}}};
}

std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

constexpr int kPeerPortOffset = 600;
constexpr int kUpstreamPortOffset = 1'200;

// Writes the settings of a group, its leaf services and their upstreams to
// `out`. Takes one port from `next_port` for each upstream.
void WriteGroup(const Shape& shape, const Group& group, int& next_port,
                std::ostream& out) {
  out << "[service." << group.name << "]\nslots = " << group.slots
      << "\nconnections = " << group.connections << "\n\n";
  for (int service = 0; service < group.services; ++service) {
    std::string leaf = group.name;
    if (group.services > 1) {
      leaf += (service < 10 ? "0" : "") + std::to_string(service);
      out << "[service." << leaf << "]\nparent = \"" << group.name << "\"\n\n";
    }
    for (int upstream = 0; upstream < group.upstreams; ++upstream) {
      const auto centre = static_cast<std::size_t>(service + upstream) %
                          shape.data_centres.size();
      out << "[upstream." << leaf << "-" << upstream << "]\nservice = \""
          << leaf << "\"\naddress = \"" << Address(next_port++)
          << "\"\ndata_centre = \"" << shape.data_centres[centre] << "\"\n\n";
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Writes the files of a fleet", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> shape_arg("", "shape",
                                         "glenbracken or chequecraft", false,
                                         "glenbracken", "NAME", command);
  TCLAP::ValueArg<int> daemons_arg("", "daemons", "Daemons", false, 3, "N",
                                   command);
  TCLAP::ValueArg<int> port_arg("", "base-port", "First port", false, 20'000,
                                "PORT", command);
  TCLAP::ValueArg<std::string> dir_arg("", "dir", "Output directory", true, "",
                                       "DIR", command);
  TCLAP::ValueArg<std::string> extra_arg("", "extra",
                                         "Settings that all services inherit",
                                         false, "", "TOML", command);
  TCLAP::ValueArg<std::string> only_arg("", "only", "Only this group", false,
                                        "", "NAME", command);
  TCLAP::ValueArg<std::string> drain_arg("", "drain-notice",
                                         "Drain notice of the daemons", false,
                                         "1s", "TIME", command);
  TCLAP::ValueArg<int> http_arg("", "http-threads",
                                "HTTP threads of each daemon", false, 2, "N",
                                command);
  command.parse(argc, argv);
  const Shape shape = ShapeByName(shape_arg.getValue());
  const int base = port_arg.getValue();
  const std::string dir = dir_arg.getValue() + "/";

  std::ofstream settings(dir + "settings.toml");
  settings << "revision = 1\n\n[fleet]\nview_lease = \"3s\"\n\n";
  for (const std::string& centre : shape.data_centres) {
    settings << "[data_centre." << centre << "]\nstate = \"in\"\n\n";
  }
  settings << "[service.all]\n" << extra_arg.getValue() << "\n\n";
  int next_port = base + kUpstreamPortOffset;
  for (const Group& group : shape.groups) {
    if (!only_arg.getValue().empty() && only_arg.getValue() != group.name) {
      continue;
    }
    std::ostringstream text;
    WriteGroup(shape, group, next_port, text);
    std::string body = text.str();
    // All groups have the parent "all", so they inherit the extra lines.
    body.insert(body.find('\n') + 1, "parent = \"all\"\n");
    settings << body;
  }

  nlohmann::json vms = nlohmann::json::array();
  for (int daemon = 0; daemon < daemons_arg.getValue(); ++daemon) {
    const std::string id = "vm-" + std::to_string(daemon);
    const std::string& centre =
        shape.data_centres[static_cast<std::size_t>(daemon) %
                           shape.data_centres.size()];
    const std::string peer = Address(base + kPeerPortOffset + daemon);
    vms.push_back({{"id", id},
                   {"data_centre", centre},
                   {"peer_address", peer},
                   {"state", "live"}});
    std::ofstream(dir + id + ".toml")
        << "vm = \"" << id << "\"\ndata_centre = \"" << centre
        << "\"\nlisten = \"" << Address(base + 10 + daemon)
        << "\"\npeer_listen = \"" << peer << "\"\nplatform = \""
        << Address(base) << "\"\ndrain_notice = \"" << drain_arg.getValue()
        << "\"\nhttp_threads = " << http_arg.getValue() << "\n";
  }
  std::ofstream(dir + "vms.json")
      << nlohmann::json{{"revision", 1}, {"vms", vms}}.dump(1) << "\n";
  return 0;
}
