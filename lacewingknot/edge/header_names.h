// Names of the HTTP headers that the tier itself reads or writes.
//
// The platform that the daemon runs on defines the names. Only the platform
// adapter contains their values.

#ifndef LACEWINGKNOT_EDGE_HEADER_NAMES_H_
#define LACEWINGKNOT_EDGE_HEADER_NAMES_H_

#include <string>

namespace lacewingknot::edge {

struct HeaderNames {
  std::string request_id;   // Echoed by upstreams.
  std::string deadline_ms;  // Milliseconds that the sender will still wait.
  std::string signature;    // An upstream's signature of its answer.
  // Id of the only upstream that may run the request.
  std::string expected_upstream;
  std::string not_run;  // Present: the request did not run.
  // Requests per second that the upstream takes from all daemons together.
  std::string stated_rate;
  std::string leaving;  // Value "1": the upstream is about to leave.
  // Milliseconds for which the upstream is still cold.
  std::string cold_remaining;
  // Name of the team whose key the client presented; written by the edge alone
  // if the configuration has teams.
  std::string team;
  std::string part_signatures;  // Signatures of the parts in a merged answer.
  std::string missing_parts;    // Number of shards missing from the answer.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_HEADER_NAMES_H_
