// fake_platform: a fake platform that serves two documents, read from files.
//
//   fake_platform -s settings.toml -v vms.json -p 20000
//
// `POST /admin/documents/NAME?revision=N` replaces a document;
// `POST /admin/mode?stale=1&delay_ms=N` sets the faults.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lacewingknot/settings/tree.h"
#include "testing/fake_platform.h"

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Fake platform", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> settings_arg(
      "s", "settings", "Settings document", true, "", "FILE", command);
  TCLAP::ValueArg<std::string> vms_arg("v", "vms", "List of VMs", true, "",
                                       "FILE", command);
  TCLAP::ValueArg<int> port_arg("p", "port", "Port", true, 0, "PORT", command);
  command.parse(argc, argv);
  const std::string settings = ReadFile(settings_arg.getValue());
  const std::string vms = ReadFile(vms_arg.getValue());
  const auto parsed = lacewingknot::ParseSettings(settings);
  const std::uint64_t settings_revision =
      parsed.tree == nullptr ? 1 : parsed.tree->revision;
  const auto list = nlohmann::json::parse(vms);
  boost::asio::io_context io(1);
  lacewingknot::testing::FakePlatform platform(
      io, static_cast<std::uint16_t>(port_arg.getValue()));
  platform.Put("settings", {settings_revision, settings});
  platform.Put("vms", {list.at("revision").get<std::uint64_t>(), vms});
  std::cout << "platform on port " << platform.port() << std::endl;
  io.run();
  return 0;
}
