#include "lacewingknot/ctl/internal/command_helpers.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lacewingknot::ctl::internal {
namespace {

using nlohmann::json;

// Longer than the longest accepted deadline of a request (60 s), so that the
// daemon's own reply arrives first.
constexpr Duration kRequestTimeout = std::chrono::seconds(65);

}  // namespace

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorType::kInvalidRequest, path + ": cannot be read"};
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<ClientReply> SendRequest(const std::string& daemon,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body, Output& output,
                                const HttpClient::Headers& headers) {
  try {
    Result<ClientReply> reply = HttpClient(daemon, kRequestTimeout)
                                    .SendAndWait(method, target, body, headers);
    if (!reply) {
      output.err << "lacewingknotctl: " << daemon << ": "
                 << reply.error().detail << "\n";
    }
    return reply;
  } catch (const std::exception& error) {
    output.err << "lacewingknotctl: " << daemon << ": " << error.what() << "\n";
    return Error{ErrorType::kInvalidRequest, error.what()};
  }
}

void PrintFaults(const std::string& file,
                 const std::vector<SettingsFault>& faults, Output& output) {
  if (!output.json) {
    for (const SettingsFault& fault : faults) {
      output.err << FormatFault(file, fault) << "\n";
    }
    return;
  }
  json all = json::array();
  for (const SettingsFault& fault : faults) {
    all.push_back({{"file", file},
                   {"line", fault.line},
                   {"key", fault.key},
                   {"problem", fault.problem},
                   {"accepted", fault.accepted}});
  }
  output.out << json{{"faults", all}}.dump() << "\n";
}

}  // namespace lacewingknot::ctl::internal
