// Helpers of the commands: files, requests to a daemon, and settings faults.

#ifndef LACEWINGKNOT_CTL_INTERNAL_COMMAND_HELPERS_H_
#define LACEWINGKNOT_CTL_INTERNAL_COMMAND_HELPERS_H_

#include <string>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/ctl/commands.h"
#include "lacewingknot/http/client.h"
#include "lacewingknot/settings/tree.h"

namespace lacewingknot::ctl::internal {

inline constexpr int kHttpOk = 200;

// kInvalidRequest if the file cannot be read.
Result<std::string> ReadFile(const std::string& path);

// Sends one HTTP request to `daemon` ("IP:PORT") and waits for the reply.
// Prints the error if the daemon cannot be reached.
Result<ClientReply> SendRequest(const std::string& daemon,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body, Output& output,
                                const HttpClient::Headers& headers = {});

// Prints each fault with file, line, key and what is accepted, as text to
// `output.err` or as JSON to `output.out`.
void PrintFaults(const std::string& file,
                 const std::vector<SettingsFault>& faults, Output& output);

}  // namespace lacewingknot::ctl::internal

#endif  // LACEWINGKNOT_CTL_INTERNAL_COMMAND_HELPERS_H_
