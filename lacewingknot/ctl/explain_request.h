// The command "explain-request" of lacewingknotctl: where an edge daemon would
// send a request now, and why.
//
// Streams and exit status are as in commands.h; kExitNegative also if the
// request would be refused.

#ifndef LACEWINGKNOT_CTL_EXPLAIN_REQUEST_H_
#define LACEWINGKNOT_CTL_EXPLAIN_REQUEST_H_

#include <nlohmann/json.hpp>
#include <string>

#include "lacewingknot/ctl/commands.h"

namespace lacewingknot::ctl {

struct ExplainRequestOptions {
  std::string host;
  std::string path;
  // File whose first line is the team's key, "-" for standard input; empty for
  // a request without a key. The key is sent to the daemon as clients send it,
  // and is never printed.
  std::string key_file;
};

int ExplainRequest(const std::string& daemon,
                   const ExplainRequestOptions& options, Output output);

// Prints the daemon's explanation as text.
void PrintRequestExplanation(const nlohmann::json& explanation,
                             std::ostream& out);

}  // namespace lacewingknot::ctl

#endif  // LACEWINGKNOT_CTL_EXPLAIN_REQUEST_H_
