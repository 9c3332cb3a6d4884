// The commands of lacewingknotctl for daemons in the edge role (--edge).
//
// Options, streams and exit status are as in commands.h.

#ifndef LACEWINGKNOT_CTL_EDGE_COMMANDS_H_
#define LACEWINGKNOT_CTL_EDGE_COMMANDS_H_

#include <string>

#include "lacewingknot/ctl/commands.h"

namespace lacewingknot::ctl {

// Checks an edge daemon's settings file.
int CheckEdge(const std::string& file, Output output);

// Prints what an edge daemon holds: versions in force and their age, fleet,
// relays.
int EdgeStatus(const std::string& daemon, Output output);

// Prints a service's upstreams as an edge daemon sees them, and why each is or
// is not used.
int ExplainEdge(const std::string& daemon, const std::string& service,
                Output output);

}  // namespace lacewingknot::ctl

#endif  // LACEWINGKNOT_CTL_EDGE_COMMANDS_H_
