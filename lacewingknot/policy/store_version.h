// Orders versions of the store across its returns from a copy.
//
// After a drill the store may return from a copy that is some seconds old.
// Writes since the copy are lost and their revisions are issued again, so that
// a revision alone does not identify the contents. The store states its epoch
// in each answer and raises it at each return. Versions are ordered by epoch,
// then by revision.
//
// EpochTracker decides when the contents that a daemon holds are of an earlier
// epoch than the store's, from the store's answers and from peers' reports. An
// answer is taken at its word. A report is only a reason to ask the store: an
// answer to a call that began later replaces it.
//
// Load pattern: all daemons of a fleet learn of a return within a second, most
// of them from a peer. A daemon may be cut off from the store, an intermediary
// may remove the epoch from answers, and a damaged datagram may hold any value.
//
// No I/O and no clock. Not thread-safe.
//
// Example:
//   EpochTracker epochs;
//   epochs.OnReadBegan(now);
//   epochs.OnAnswer(4, now);
//   epochs.OnReadEnded();
//   if (epochs.OnPeerReport(5, later)) ReadAll();

#ifndef LACEWINGKNOT_POLICY_STORE_VERSION_H_
#define LACEWINGKNOT_POLICY_STORE_VERSION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <tuple>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

struct StoreVersion {
  std::uint64_t epoch = 0;  // 0: unknown.
  std::uint64_t revision = 0;

  friend bool operator==(const StoreVersion&, const StoreVersion&) = default;
  friend bool operator<(const StoreVersion& a, const StoreVersion& b) {
    return std::tie(a.epoch, a.revision) < std::tie(b.epoch, b.revision);
  }
};

class EpochTracker {
 public:
  enum class Anomaly { kNone, kMissing, kDecreased };
  struct Rise {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
  };

  // The store has answered a call that began at `asked_at`, with or without an
  // epoch. Values with an anomaly are ignored.
  Anomaly OnAnswer(std::optional<std::uint64_t> epoch, TimePoint asked_at);
  // A peer reports `epoch`, 0 if it knows none. Returns whether the contents
  // must be read again and were not known to before.
  bool OnPeerReport(std::uint64_t epoch, TimePoint now);

  // A read of all contents began.
  void OnReadBegan(TimePoint now);
  // The read was answered in full. Returns the rise if the contents before were
  // of a lower epoch.
  std::optional<Rise> OnReadEnded();

  // Whether a higher epoch than that of the contents is known.
  bool must_read() const { return has_contents_ && known() > contents_; }
  // The epoch of the contents; 0 if unknown.
  std::uint64_t contents() const { return contents_; }
  // The highest epoch of any answer.
  std::uint64_t answered() const { return answered_; }
  std::uint64_t known() const { return std::max(answered_, reported_); }
  // Whether the epoch has risen since the first full read.
  bool has_risen() const { return has_risen_; }
  // Number of peers' reports that the store's later answers did not confirm.
  std::uint64_t refuted() const { return refuted_; }

 private:
  // Between two reads that peers cause after one of them was refuted: a peer
  // that keeps sending wrong values must not load the store.
  static constexpr Duration kRefutedInterval = std::chrono::seconds(30);

  bool has_value_ = false;  // An answer stated an epoch.
  bool has_contents_ = false;
  bool has_risen_ = false;
  bool read_has_value_ = false;  // An answer of the latest read stated one.
  std::uint64_t answered_ = 0;
  std::uint64_t reported_ = 0;
  std::uint64_t contents_ = 0;
  std::uint64_t refuted_ = 0;
  TimePoint reported_at_{};
  TimePoint read_began_at_{};
  std::optional<TimePoint> refuted_at_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_STORE_VERSION_H_
