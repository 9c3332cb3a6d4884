// The commands of lacewingknotctl for daemons in the edge role (--edge).
//
// Options, streams and exit status are as in commands.h.

#ifndef LACEWINGKNOT_CTL_EDGE_COMMANDS_H_
#define LACEWINGKNOT_CTL_EDGE_COMMANDS_H_

#include <string>

#include "lacewingknot/ctl/commands.h"

namespace lacewingknot::ctl {

// Checks an edge daemon's settings file; prints every fault, and every unknown
// key as ignored.
int CheckEdgeSettings(const std::string& file, Output output);

// Prints every mechanism that the settings can switch off, with a line on what
// it does, and whether it is off in the settings file `file`, unless that is
// empty.
int PrintMechanisms(const std::string& file, Output output);

// Prints an edge daemon's status: versions in force with their ages, fleet,
// relays.
int PrintEdgeStatus(const std::string& daemon, Output output);

// Prints the state of a service's upstreams as the edge daemon sees it, with
// the reason why each is or is not used.
int ExplainEdgeUpstreams(const std::string& daemon, const std::string& service,
                         Output output);

// Prints the teams of an edge daemon's configuration: priority, rate, burst,
// keeper, tokens held, and requests admitted and refused lately.
int PrintTeams(const std::string& daemon, Output output);

}  // namespace lacewingknot::ctl

#endif  // LACEWINGKNOT_CTL_EDGE_COMMANDS_H_
