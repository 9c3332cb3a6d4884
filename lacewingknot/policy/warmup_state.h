// The number of attempts that one upstream may be sent at once, from a cold
// start to full load (slow start).
//
// Load pattern: an upstream that has just started handles a few requests at a
// time and fails under full load, and many daemons send to it.
//
// The warm-up level is the number of attempts that the upstream may have in
// flight from all daemons together. It starts at `cold_concurrency`, doubles
// after each `warmup_completions` answers, and is full at the upstream's
// connection limit. While the level is below the number of daemons, only the
// upstream's owner (policy/fleet_view.h) may send; from there on every daemon
// has an equal share. Only the owner raises the level; other daemons learn it
// from peers' reports. A shed request or a timeout during warm-up halves it.
//
// An upstream is presumed cold until an answer, or a recent report of a peer,
// proves that the instance that was warm still runs: a restarted upstream
// breaks its connections before any health endpoint reports the restart.
//
// Health endpoints are not used, because they lag or mislead.
//
// Not thread-safe; a value type.
//
// Example:
//   WarmupState state;
//   const auto allowance = state.Allowance(limits, role, connected, now);
//   if (in_flight < allowance) Send(...);
//   // When the answer arrives:
//   state.OnCompletion(limits, instance, role.is_owner, now);

#ifndef LACEWINGKNOT_POLICY_WARMUP_STATE_H_
#define LACEWINGKNOT_POLICY_WARMUP_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// A daemon's report to its peers of the warm-up of one upstream.
struct WarmupReport {
  std::string instance;
  std::int64_t level = 0;
  TimePoint last_answer_at{};    // When the instance last answered.
  TimePoint level_changed_at{};  // When the level was last raised or lowered.
};

class WarmupState {
 public:
  struct Limits {
    bool enabled = true;  // If false, the upstream always counts as warm.
    std::int64_t cold_concurrency = 1;
    std::int64_t warmup_completions = 32;
    std::int64_t connections = 25;
  };

  // This daemon's role for the upstream at the moment of sending.
  struct FleetRole {
    bool is_owner = false;
    std::int64_t fleet_size = 1;  // Daemons.
  };

  // Up to this age the last answer proves that the instance runs even if no
  // connection to it is open.
  static constexpr Duration kMaxAnswerAge = std::chrono::seconds(2);

  // Returns how many attempts this daemon may have in flight at `now`.
  // `connected` is whether a connection opened before the last answer is still
  // open.
  std::int64_t Allowance(const Limits& limits, const FleetRole& role,
                         bool connected, TimePoint now) const;

  // The upstream closed every connection: the instance may have ended, so the
  // upstream is presumed cold. Returns true if it was not until now.
  bool OnConnectionsLost(TimePoint now);

  // `instance` completed an attempt. Returns true if this made the upstream
  // warm.
  bool OnCompletion(const Limits& limits, std::string_view instance,
                    bool is_owner, TimePoint now);

  // The upstream shed a request or did not answer in time. Returns true if the
  // level was lowered.
  bool OnOverload(const Limits& limits, TimePoint now);

  // Merges a peer's report: takes its instance if that answered later than
  // anything known here, and its level of the same instance if that was set
  // later. The times of the report must be lower bounds, so that a delayed
  // message does not make an old answer look recent. Returns true if the
  // instance, the level or the presumption that the upstream is cold changed.
  bool OnPeerReport(const WarmupReport& report);

  // Returns the report for peers; empty while the upstream is presumed cold.
  std::optional<WarmupReport> Report() const;

  bool IsWarm(const Limits& limits) const {
    return !limits.enabled || (!presumed_cold_ && level_ >= limits.connections);
  }

  std::string_view instance() const { return instance_; }
  std::int64_t level() const { return level_; }
  // True while it is not proved that the instance known here still runs.
  bool presumed_cold() const { return presumed_cold_; }
  TimePoint last_answer_at() const { return last_answer_at_; }

 private:
  void ResetToCold(const Limits& limits, std::string_view instance,
                   TimePoint now);
  bool AdoptLevel(const WarmupReport& report);

  std::string instance_;
  std::int64_t level_ = 0;
  std::int64_t completions_ = 0;  // At the present level.
  bool presumed_cold_ = true;
  TimePoint last_answer_at_{};
  TimePoint level_changed_at_{};
  TimePoint presumed_cold_since_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WARMUP_STATE_H_
