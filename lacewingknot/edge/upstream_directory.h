// The directory of upstreams, as published by the configuration store.
//
// A Directory is an immutable snapshot of one revision. Readers compare
// `revision` to detect changes; it never decreases within one process.
//
// Thread-safe as long as it is not modified after it was published.

#ifndef LACEWINGKNOT_EDGE_UPSTREAM_DIRECTORY_H_
#define LACEWINGKNOT_EDGE_UPSTREAM_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::edge {

struct UpstreamRecord {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT.
  std::string data_centre;
  std::int64_t slots = 1;
  bool draining = false;
  // Start time in Unix milliseconds. A new value is a new incarnation, which
  // keeps no state of the previous one.
  std::int64_t incarnation = 0;
  TimePoint cold_until{};  // In the past if the upstream is warm.

  bool operator==(const UpstreamRecord&) const = default;
};

struct Directory {
  std::uint64_t revision = 0;
  TimePoint confirmed_at{};  // When the store last confirmed this revision.
  std::map<std::string, UpstreamRecord> upstreams;  // By id.
  std::set<std::string> evacuated;                  // Data centres.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_UPSTREAM_DIRECTORY_H_
