// lacewingknotctl: the operators' command line tool for daemons.

#include <tclap/CmdLine.h>

#include <functional>
#include <iostream>
#include <map>
#include <vector>

#include "lacewingknot/ctl/commands.h"
#include "lacewingknot/ctl/edge_commands.h"
#include "lacewingknot/ctl/explain_request.h"

namespace {

using lacewingknot::ctl::Output;
using lacewingknot::ctl::RequestOptions;

constexpr const char* kUsageText =
    "lacewingknotctl COMMAND [ARGUMENT] [OPTIONS]\n"
    "  check FILE          check a settings document\n"
    "  effective SERVICE   settings of a service and where each is set\n"
    "  mechanisms          the mechanisms that settings can switch off\n"
    "  status              state of a daemon\n"
    "  teams               teams and their quotas; only with --edge\n"
    "  explain SERVICE     which upstreams a query would use now, and why\n"
    "  explain-request     where a request to an edge daemon would go now, "
    "and\n"
    "                      why: --host, --path, --key-file; sends no request\n"
    "  query SERVICE       send one query\n"
    "  write SERVICE       send one non-idempotent request\n"
    "check, status and explain take --edge for daemons in the edge role;\n"
    "mechanisms needs it, and marks those that are off in a FILE.\n"
    "Exit status: 0 success, 1 faults or a partial, refused or unknown "
    "outcome, 2 usage or an unreachable daemon.";

struct Arguments {
  std::string command;
  std::string argument;
  std::string daemon;
  std::string file;
  RequestOptions request;
  lacewingknot::ctl::ExplainRequestOptions explained;
  bool json = false;
  bool edge = false;
};

Arguments Parse(int argc, char** argv) {
  TCLAP::CmdLine command(kUsageText, ' ', "0.1.0");
  command.setExceptionHandling(false);
  TCLAP::UnlabeledValueArg<std::string> name("command", "The command", true, "",
                                             "COMMAND", command);
  TCLAP::UnlabeledValueArg<std::string> argument(
      "argument", "File or service", false, "", "ARGUMENT", command);
  TCLAP::ValueArg<std::string> daemon("d", "daemon", "Address of a daemon",
                                      false, "127.0.0.1:8001", "IP:PORT",
                                      command);
  TCLAP::ValueArg<std::string> file("f", "file", "Settings document", false, "",
                                    "FILE", command);
  TCLAP::ValueArg<std::string> text("t", "text", "Query or body to send", false,
                                    "*", "TEXT", command);
  TCLAP::ValueArg<std::string> id("i", "id", "Identifier of a write", false, "",
                                  "ID", command);
  TCLAP::ValueArg<int> deadline("", "deadline-ms", "Deadline of the request",
                                false, 0, "MS", command);
  TCLAP::ValueArg<std::string> host("", "host", "Host of the explained request",
                                    false, "", "HOST", command);
  TCLAP::ValueArg<std::string> path("p", "path", "Its path", false, "/", "PATH",
                                    command);
  TCLAP::ValueArg<std::string> key_file(
      "k", "key-file", "File that holds its team's key; - for standard input",
      false, "", "FILE", command);
  TCLAP::SwitchArg json("j", "json", "Print JSON", command);
  TCLAP::SwitchArg edge("e", "edge", "The daemon is in the edge role", command);
  command.parse(argc, argv);
  return {.command = name.getValue(),
          .argument = argument.getValue(),
          .daemon = daemon.getValue(),
          .file = file.getValue(),
          .request = {.service = argument.getValue(),
                      .text = text.getValue(),
                      .id = id.getValue(),
                      .deadline_ms = deadline.getValue()},
          .explained = {.host = host.getValue(),
                        .path = path.getValue(),
                        .key_file = key_file.getValue()},
          .json = json.getValue(),
          .edge = edge.getValue()};
}

using Commands = std::map<std::string, std::function<int()>>;

Commands EdgeCommands(const Arguments& arguments, const Output& output) {
  namespace ctl = lacewingknot::ctl;
  return {{"check",
           [&] { return ctl::CheckEdgeSettings(arguments.argument, output); }},
          {"mechanisms",
           [&] { return ctl::PrintMechanisms(arguments.argument, output); }},
          {"status",
           [&] { return ctl::PrintEdgeStatus(arguments.daemon, output); }},
          {"teams", [&] { return ctl::PrintTeams(arguments.daemon, output); }},
          {"explain", [&] {
             return ctl::ExplainEdgeUpstreams(arguments.daemon,
                                              arguments.argument, output);
           }}};
}

Commands QueryCommands(const Arguments& arguments, const Output& output) {
  namespace ctl = lacewingknot::ctl;
  return {
      {"check", [&] { return ctl::CheckSettings(arguments.argument, output); }},
      {"effective",
       [&] {
         return ctl::PrintEffectiveSettings(arguments.file, arguments.daemon,
                                            arguments.argument, output);
       }},
      {"status", [&] { return ctl::PrintStatus(arguments.daemon, output); }},
      {"explain",
       [&] {
         return ctl::ExplainUpstreams(arguments.daemon, arguments.argument,
                                      output);
       }},
      {"query",
       [&] {
         return ctl::SendQuery(arguments.daemon, arguments.request, output);
       }},
      {"write",
       [&] {
         return ctl::SendWrite(arguments.daemon, arguments.request, output);
       }},
  };
}

int Run(const Arguments& arguments) {
  namespace ctl = lacewingknot::ctl;
  const Output output{std::cout, std::cerr, arguments.json};
  if (arguments.command == "explain-request") {
    return ctl::ExplainRequest(arguments.daemon, arguments.explained, output);
  }
  const Commands commands = arguments.edge ? EdgeCommands(arguments, output)
                                           : QueryCommands(arguments, output);
  const auto command = commands.find(arguments.command);
  if (command == commands.end()) {
    std::cerr << "lacewingknotctl: no command named " << arguments.command
              << "; see --help\n";
    return ctl::kExitUsage;
  }
  const bool needs_argument = arguments.command != "status" &&
                              arguments.command != "mechanisms" &&
                              arguments.command != "teams";
  if (needs_argument && arguments.argument.empty()) {
    std::cerr << "lacewingknotctl: " << arguments.command
              << " needs an argument; see --help\n";
    return ctl::kExitUsage;
  }
  if (arguments.command == "write" && arguments.request.id.empty()) {
    std::cerr << "lacewingknotctl: write needs --id\n";
    return ctl::kExitUsage;
  }
  return command->second();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(Parse(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "lacewingknotctl: " << error.error() << " " << error.argId()
              << "\n";
    return lacewingknot::ctl::kExitUsage;
  }
}
