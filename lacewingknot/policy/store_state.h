// Finds out whether a daemon follows the same history of the store as its
// peers.
//
// A daemon reads the store's contents once and then follows the changes by
// their revisions. After an outage the store may lack its last changes and use
// their revisions again. A daemon that noticed the outage reads everything
// again; one that did not goes on from a revision that names another change by
// now, and stays with outdated contents until the next change of the same key.
// If the store does not state its epoch (policy/store_version.h), no answer
// shows this: the revision alone does not tell which history it belongs to.
//
// Therefore daemons tell each other a digest of the contents and the revisions
// between which it holds. In one history, contents at the same revision are
// equal, and the revision never decreases. If either is violated, the daemon
// whose full read is older may be outdated and reads again, so that a single
// outdated daemon does not make the whole fleet read.
//
// Load pattern: the store is silent for less than the pause of a daemon between
// two calls, or the daemon's connection to it went silent before; other
// daemons have noticed the outage. Hundreds of daemons compare themselves with
// one another every second, and hardly ever differ. While upstreams restart,
// the store changes many times a second and no two daemons are at the same
// revision, so each remembers the latest contents and reports.
//
// No I/O and no clock. Not thread-safe.
//
// Example:
//   StoreComparison comparison;
//   comparison.OnFullRead(own_report);
//   comparison.OnAnswer(passed_states, own_report);
//   if (comparison.OnPeerReport(report, now)) ReadAll();

#ifndef LACEWINGKNOT_POLICY_STORE_STATE_H_
#define LACEWINGKNOT_POLICY_STORE_STATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/policy/store_version.h"

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

// Whether both states are known and have the same contents at a revision that
// both include.
bool AreSame(const StoreState& one, const StoreState& other);

// Returns the time since `at`; empty if `at` is not set.
inline std::optional<Duration> AgeOf(TimePoint at, TimePoint now) {
  return at == TimePoint{} ? std::nullopt : std::optional<Duration>(now - at);
}

// What a daemon tells its peers of the store.
struct StoreReport {
  // The store's epoch (policy/store_version.h); 0 if unknown, also from daemons
  // of earlier releases.
  std::uint64_t epoch = 0;
  // The store held no change later than this at `confirmed_at`.
  std::uint64_t revision = 0;
  TimePoint confirmed_at{};
  // When the daemon last read all contents. It has not lost the store since.
  TimePoint unbroken_since{};
  StoreState state;

  StoreVersion version() const {
    return {.epoch = epoch, .revision = revision};
  }
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

enum class Comparison {
  kCompatible,  // Or not comparable.
  kOwnMayBeOutdated,
  kPeerMayBeOutdated,
};

// Compares what this daemon knows with a peer's report, at `now`. Epochs decide
// if both are known.
Comparison CompareReports(const StoreReport& own, const StoreReport& peer,
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
  static constexpr Duration kMinInterval = std::chrono::seconds(2);
  static constexpr Duration kMaxInterval = std::chrono::minutes(2);
  // Reads in quick succession before the interval grows.
  static constexpr int kBurst = 3;

  TimePoint last_{};
  Duration interval_{};
  int reads_ = 0;
};

// Compares a daemon's recent contents with its peers' recent reports.
class StoreComparison {
 public:
  // This daemon has read all contents.
  void OnFullRead(const StoreReport& own);
  // The store has answered a watch. `passed` are the contents between the
  // previous report and this one. Returns the earlier report of a peer that
  // shows this daemon's contents to be outdated, if there is one.
  std::optional<StoreReport> OnAnswer(std::span<const StoreState> passed,
                                      const StoreReport& own, TimePoint now);
  // Returns whether the peer's report shows this daemon's contents to be
  // outdated.
  bool OnPeerReport(const StoreReport& peer, TimePoint now);

  // This daemon's latest report.
  const StoreReport& own() const { return own_; }

 private:
  static constexpr std::size_t kMaxPassedStates = 64;
  static constexpr std::size_t kMaxPeerReports = 8;

  bool IsOutdatedBy(const StoreReport& peer, TimePoint now) const;

  StoreReport own_;
  std::deque<StoreState> passed_;
  std::deque<StoreReport> peer_reports_;  // Since the last full read.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_STORE_STATE_H_
