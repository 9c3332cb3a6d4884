// The commands of lacewingknotctl.
//
// Each takes its options and two streams and returns the exit status: 0 for
// success, 1 for an answer that is not the one hoped for (faults in settings,
// a partial answer, a write that is not done), 2 for bad usage or a daemon that
// cannot be reached.

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
  bool json = false;
};

// Checks a settings document; prints every fault with file, line, key and what
// is accepted.
int Check(const std::string& file, Output output);

// Prints the settings of a service, each with the node that sets it. The
// document comes from `file`, or from the daemon if that is empty.
int Effective(const std::string& file, const std::string& daemon,
              const std::string& service, Output output);

// Prints what a daemon holds: revision in force and its age, peers, data
// centres out.
int Status(const std::string& daemon, Output output);

// Prints which upstreams a query of `service` would use now, and why not the
// others.
int Explain(const std::string& daemon, const std::string& service,
            Output output);

struct RequestOptions {
  std::string service;
  std::string text;
  std::string id;  // Of a write.
  int deadline_ms = 0;
};

int Query(const std::string& daemon, const RequestOptions& options,
          Output output);
int Write(const std::string& daemon, const RequestOptions& options,
          Output output);

}  // namespace lacewingknot::ctl

#endif  // LACEWINGKNOT_CTL_COMMANDS_H_
