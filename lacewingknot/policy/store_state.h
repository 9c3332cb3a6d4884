// Finds out whether two daemons follow the same history of the store.
//
// A daemon reads the store's contents once and then follows the changes by
// their revisions. After an outage the store may lack its last changes and use
// their revisions again. A daemon that noticed the outage reads everything
// again; one that did not goes on from a revision that names another change by
// now, and stays with outdated contents until the next change of the same key.
// No answer of the store shows this: the revision alone does not tell which
// history it belongs to.
//
// Therefore daemons tell each other a digest of the contents and the revisions
// between which it holds. In one history, contents at the same revision are
// equal. If they differ, the daemon whose full read is older reads again, so
// that a single daemon with other contents does not make the whole fleet read.
//
// Load pattern: the store is silent for less than the pause of a daemon between
// two calls, or the daemon's connection to it went silent before; other
// daemons have noticed the outage. Hundreds of daemons compare themselves with
// one another every second, and hardly ever differ.
//
// No I/O and no clock. Not thread-safe.
//
// Example:
//   ContentsDigest digest;
//   digest.Put("op/config", value);
//   const StoreReport own{.state = {.since = 33, .until = 47,
//                                   .digest = digest.value()}, ...};
//   if (CompareReports(own, report, now) == Agreement::kOwnIsSuspect)
//   ReadAll();

#ifndef LACEWINGKNOT_POLICY_STORE_STATE_H_
#define LACEWINGKNOT_POLICY_STORE_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// The contents of the store as a daemon knows them. They have not changed from
// revision `since` to `until`.
struct StoreState {
  std::uint64_t since = 0;
  std::uint64_t until = 0;  // 0: not known exactly.
  std::uint32_t digest = 0;

  bool is_known() const { return until != 0; }
  bool operator==(const StoreState&) const = default;
};

// What a daemon tells its peers of the store.
struct StoreReport {
  // The store held no change later than this at `confirmed_at`.
  std::uint64_t revision = 0;
  TimePoint confirmed_at{};
  // When the daemon last read all contents. It has not lost the store since.
  TimePoint unbroken_since{};
  StoreState state;
};

// Digest of a set of keys and their values, whatever the order in which they
// were put. The same on all processor architectures.
class ContentsDigest {
 public:
  void Put(const std::string& key, std::string_view value);
  void Erase(const std::string& key);
  void Clear();
  std::uint32_t value() const;

 private:
  std::unordered_map<std::string, std::uint64_t> hashes_;
  std::uint64_t sum_ = 0;
};

enum class Agreement {
  kConsistent,  // Or not comparable.
  kOwnIsSuspect,
  kPeerIsSuspect,
};

// Compares what this daemon knows with the report of a peer, received at `now`.
Agreement CompareReports(const StoreReport& own, const StoreReport& peer,
                         TimePoint now);

// Limits how often a daemon reads everything again because of peers' reports.
// Daemons whose contents differ for another reason than a missed change, such
// as a rolling update that decodes entries differently, must not load the
// store.
class RereadLimiter {
 public:
  // Returns whether a read is allowed at `now`, and counts it if so.
  bool Allow(TimePoint now);

 private:
  // Longer than a full read takes, during which reports still differ.
  static constexpr Duration kMinInterval = std::chrono::seconds(2);
  static constexpr Duration kMaxInterval = std::chrono::minutes(2);

  TimePoint last_{};
  Duration interval_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_STORE_STATE_H_
