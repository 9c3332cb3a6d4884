// Names of the HTTP headers that carry the tier's own facts.
//
// The platform that the daemon runs on decides the names; nothing outside its
// adapter knows them.

#ifndef LACEWINGKNOT_EDGE_HEADER_NAMES_H_
#define LACEWINGKNOT_EDGE_HEADER_NAMES_H_

#include <string>

namespace lacewingknot::edge {

struct HeaderNames {
  std::string request_id;   // Echoed by upstreams.
  std::string deadline_ms;  // Milliseconds that the sender still waits.
  std::string signature;    // An upstream's signature of its answer.
  std::string
      expected_upstream;        // The id of the only upstream that may run it.
  std::string not_run;          // Present: the request did not run.
  std::string part_signatures;  // Signatures of the parts in a merged answer.
  std::string missing_parts;    // Number of shards left out.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_HEADER_NAMES_H_
