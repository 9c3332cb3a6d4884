// The commands of lacewingknotctl for query daemons.
//
// Each command prints to the streams of `Output` and returns the process's exit
// status: kExitOk for success; kExitNegative for faults in settings, a refusal,
// a partial answer, or a write that is not done; kExitUsage for bad usage, a
// file that cannot be read, or a daemon that cannot be reached.
//
// Example:
//   return ctl::PrintStatus("127.0.0.1:8001", {std::cout, std::cerr});

#ifndef LACEWINGKNOT_CTL_COMMANDS_H_
#define LACEWINGKNOT_CTL_COMMANDS_H_

#include <ostream>
#include <string>

namespace lacewingknot::ctl {

inline constexpr int kExitOk = 0;
inline constexpr int kExitNegative = 1;
inline constexpr int kExitUsage = 2;

struct Output {
  std::ostream& out;
  std::ostream& err;
  bool json = false;  // Print JSON instead of text.
};

// Checks the settings document in `file`; prints every fault with file, line,
// key and what is accepted.
int CheckSettings(const std::string& file, Output output);

// Prints the settings of a service, each with the node of the settings tree
// that sets it. The document is read from `file`, or from the daemon if `file`
// is empty.
int PrintEffectiveSettings(const std::string& file, const std::string& daemon,
                           const std::string& service, Output output);

// Prints a daemon's state: readiness, settings and VM list in force with their
// ages, peers, permit, and data centres taken out of use.
int PrintStatus(const std::string& daemon, Output output);

// Prints which upstreams a query of `service` could use now, and for each of
// the others the reason why not.
int ExplainUpstreams(const std::string& daemon, const std::string& service,
                     Output output);

struct RequestOptions {
  std::string service;
  std::string text;     // The query, or the body of a write.
  std::string id;       // Identifier of a write; empty for a query.
  int deadline_ms = 0;  // 0 for the service's default.
};

// Sends one query and prints version, coverage and attempts of the answer.
int SendQuery(const std::string& daemon, const RequestOptions& options,
              Output output);

// Sends one write and prints its outcome, "unknown" if the daemon did not
// reply.
int SendWrite(const std::string& daemon, const RequestOptions& options,
              Output output);

}  // namespace lacewingknot::ctl

#endif  // LACEWINGKNOT_CTL_COMMANDS_H_
