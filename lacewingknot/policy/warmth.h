// How much work one upstream may be given, from a cold start to full load.
//
// The level is the number of attempts in flight that the upstream is trusted
// to bear from all daemons together. It starts at `cold_concurrency`, doubles
// after each `warmup_completions` answers, and is full at the upstream's
// connection limit. While the level is below the number of daemons only the
// responsible daemon may send; above it every daemon has an equal share. Only
// the responsible daemon raises the level; the others learn it from peers'
// claims. A shed answer or a timeout while warming halves it.
//
// An upstream is presumed cold until an answer, or a peer's recent claim,
// proves that the instance that was warm still runs: a restarted upstream
// breaks its connections before any health endpoint reports it.
//
// Health endpoints play no part: they lag or mislead.
//
// Not thread-safe; a value type.

#ifndef LACEWINGKNOT_POLICY_WARMTH_H_
#define LACEWINGKNOT_POLICY_WARMTH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// What a daemon knows of an upstream from its own answers, sent to peers.
struct WarmthClaim {
  std::string instance;
  std::int64_t level = 0;
  TimePoint evidence_at{};  // The instance last answered.
  TimePoint level_at{};     // The level was last raised or lowered.
};

class Warmth {
 public:
  struct Limits {
    bool enabled = true;
    std::int64_t cold_concurrency = 1;
    std::int64_t warmup_completions = 32;
    std::int64_t connections = 25;
  };

  // The sender's place in the fleet at the moment of sending.
  struct Share {
    bool owner = false;
    std::int64_t fleet_size = 1;
  };

  // How old an answer may be and still stand for a connection that is gone.
  static constexpr Duration kEvidenceLifetime = std::chrono::seconds(2);

  // Attempts that this daemon may have in flight now. `connected` tells
  // whether a connection opened before the last answer is still open.
  std::int64_t Allowance(const Limits& limits, const Share& share,
                         bool connected, TimePoint now) const;

  // Every connection was closed by the other end: the instance may be gone.
  // Returns true if the upstream was trusted until now.
  bool OnConnectionsLost(TimePoint now);

  // An answer of `instance` to work that was completed. Returns true if the
  // upstream became warm by it.
  bool OnCompletion(const Limits& limits, std::string_view instance, bool owner,
                    TimePoint now);

  // The upstream shed work or did not answer in time. Returns true if the
  // level fell.
  bool OnOverload(const Limits& limits, TimePoint now);

  // Takes a peer's claim: the instance if its evidence is newer than all that
  // is known here, the level of the same instance if it was set later. Times
  // must be lower bounds: a delayed message must not make old evidence look
  // new. Returns true if the instance or the level changed.
  bool OnClaim(const WarmthClaim& claim);

  // Empty while there is no evidence to share.
  std::optional<WarmthClaim> Claim() const;

  bool IsFull(const Limits& limits) const {
    return !limits.enabled || (!suspect_ && level_ >= limits.connections);
  }

  std::string_view instance() const { return instance_; }
  std::int64_t level() const { return level_; }
  // True while the instance is not proved to be the one that was warm.
  bool suspect() const { return suspect_; }
  TimePoint evidence_at() const { return evidence_at_; }

 private:
  void StartCold(const Limits& limits, std::string_view instance,
                 TimePoint now);
  bool TakeLevel(const WarmthClaim& claim);

  std::string instance_;
  std::int64_t level_ = 0;
  std::int64_t completions_ = 0;  // At the present level.
  bool suspect_ = true;
  TimePoint evidence_at_{};
  TimePoint level_at_{};
  TimePoint suspect_since_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_WARMTH_H_
