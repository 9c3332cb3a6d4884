// A service, the upstreams that serve it, and its extra-load budget.
//
// Chooses the upstream of each attempt within the limits of cold upstreams,
// what upstreams say of themselves, and this daemon's subset. Choose functions
// return null if no upstream fits.
//
// Not thread-safe: runs on the traffic thread.
//
// Example:
//   const UpstreamPtr upstream = service.ChooseForAttempt(
//       AttemptKind::kFirst, {.mean_latency = service.mean_latency()}, now);
//   if (!upstream) return;
//   service.OnFirstAttempt(now);
//   upstream->Submit(attempt);

#ifndef LACEWINGKNOT_EDGE_SERVICE_H_
#define LACEWINGKNOT_EDGE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "lacewingknot/edge/routing_table.h"
#include "lacewingknot/edge/upstream.h"
#include "lacewingknot/edge/waiting_requests.h"
#include "lacewingknot/policy/cold_rate_limiter.h"
#include "lacewingknot/policy/extra_load_window.h"
#include "lacewingknot/policy/replica_choice.h"

namespace lacewingknot::edge {

// Returns the kind of extra attempt that an attempt of `kind` is for the
// extra-load budget. `urgent` means that the request's latency objective
// leaves no time for a slow attempt.
ExtraAttemptKind ExtraAttemptKindOf(AttemptKind kind, bool urgent);

class Service {
 public:
  struct Options {
    std::string name;
    TimerQueue* timers = nullptr;
    ExtraLoadWindow::Limits extra_load;
    TimePoint started_at{};  // Start time of the process.
    std::string vm;  // This daemon's VM, which determines its replica order.
    ReplicaChoiceOptions choice;
    // Called when a replica is passed over because of what it says of itself.
    std::function<void(GateDecision reason)> on_withheld;
    // Called when a request is not queued because of its team's turns.
    std::function<void(std::string_view team)> on_fairness_refusal;
  };

  explicit Service(Options options);

  const std::string& name() const { return options_.name; }
  // The relay group of this service (policy/relay_ranking.h).
  std::size_t relay_group() const { return relay_group_; }

  void set_limits(const ServiceLimits& limits) { limits_ = limits; }
  const ServiceLimits& limits() const { return limits_; }

  // Sets this daemon's share of the rate that a cold upstream can handle, in
  // requests per second.
  void set_cold_share(double requests_per_second) {
    cold_share_ = requests_per_second;
  }

  void set_extra_load(ExtraLoadWindow::Limits limits) {
    extra_load_budget_.set_limits(limits);
  }

  void Add(UpstreamPtr upstream);
  void Remove(const UpstreamPtr& upstream);
  // Limits this daemon to the first `size` usable replicas; others are chosen
  // only after these have been tried. Needed if the fleet is larger than an
  // upstream's connection limit, so that not every daemon may connect to every
  // upstream. Replicas in this data centre come first, the rest are ordered by
  // a hash of daemon and upstream.
  void set_subset_size(std::size_t size) { subset_size_ = size; }
  std::span<const UpstreamPtr> upstreams() const { return upstreams_; }

  // Data centres with upstreams of this service, and those among them with an
  // upstream that is usable now.
  std::span<const std::string> data_centres() const { return data_centres_; }
  std::span<const std::string> usable_data_centres() const {
    return usable_data_centres_;
  }
  // Must be called after upstreams have become usable or unusable.
  void UpdateDataCentres();

  // Whether any upstream is usable.
  bool HasUsableUpstream() const;

  // Returns the usable upstream that comes first in the static order, whatever
  // its load; null if there is none.
  UpstreamPtr PreferredUpstream() const;

  struct ReplicaCriteria {
    std::span<const UpstreamPtr> tried;  // Excluded.
    bool include_backing_off = false;    // Include those that are backing off.
    bool local_only = false;             // Only in this daemon's data centre.
    Duration mean_latency{};             // Mean latency of such a request.
  };
  // Returns the load of `upstream` as ChooseForAttempt() evaluates it.
  ReplicaLoad LoadOf(const Upstream& upstream, Duration mean_latency,
                     TimePoint now) const;
  const ReplicaChoiceOptions& choice() const { return options_.choice; }
  // Returns the upstream for one more attempt; null if there is none. A first
  // attempt falls back to replicas that are backing off if there is no other.
  UpstreamPtr ChooseForAttempt(AttemptKind kind,
                               const ReplicaCriteria& criteria, TimePoint now);

  struct AttemptPreview {
    UpstreamPtr chosen;  // Null if none fits.
    // Usable replicas that are no candidates, each with the reason:
    // cold_rate_limited, another_data_centre, tried, outside_subset, or the
    // name of a GateDecision.
    std::map<const Upstream*, std::string_view> passed_over;
  };
  // Returns what ChooseForAttempt() would return. Has none of its effects: the
  // rotation stays, no lot is drawn, and no health check is sent.
  AttemptPreview PreviewAttempt(AttemptKind kind,
                                const ReplicaCriteria& criteria,
                                TimePoint now) const;

  // If what the usable upstreams say of themselves keeps all of them from
  // attempts at `now`, returns when one of them takes an attempt again. Empty
  // if one takes attempts or none is usable.
  std::optional<TimePoint> WithheldUntil(TimePoint now) const;
  // Requests that wait while WithheldUntil() is not empty.
  WaitingRequests& waiting() { return waiting_; }
  const WaitingRequests& waiting() const { return waiting_; }
  // Lets waiting requests start whose turn it is; returns whether others wait
  // that a new one must not overtake.
  bool HasWaitingAhead(TimePoint now);
  // Returns what HasWaitingAhead() would return if all waiting requests whose
  // turn has come could start together.
  bool WouldWaitBehindOthers(TimePoint now) const {
    return !waiting_.empty() && WithheldUntil(now);
  }
  // Counts a request for this service, as demand for each of its upstreams.
  void CountDemand();

  // Opens a connection to the preferred upstream if it has none, so that the
  // next request need not wait for one. Does so again only if the service had a
  // request recently. Returns whether it did.
  bool Preconnect(TimePoint now);

  // Counts a first attempt, which adds to the budget for extra attempts.
  void OnFirstAttempt(TimePoint now) {
    last_first_attempt_ = now;
    extra_load_budget_.OnFirstAttempt(now);
  }
  // Takes one extra attempt from the budget. Returns false if `need` may not
  // spend what is left.
  bool TrySpendExtra(ExtraAttemptKind need, TimePoint now) {
    return extra_load_budget_.TrySpend(need, now);
  }

  // Returns the number of extra attempts left for retries.
  double ExtraAttemptsLeft(TimePoint now) const {
    return extra_load_budget_.Remaining(now);
  }

  void RecordLatency(Duration latency);
  // Moving average of the latency of a request.
  Duration mean_latency() const { return mean_latency_; }

 private:
  // Effects of a choice, or their simulation.
  class ChoiceEffects;
  class SimulatedEffects;

  // Returns those of the first `subset_size` usable upstreams that `criteria`
  // and the limits of cold upstreams allow.
  template <typename Effects>
  std::vector<UpstreamPtr> Candidates(const ReplicaCriteria& criteria,
                                      std::size_t subset_size, TimePoint now,
                                      Effects& effects) const;
  // As ChooseForAttempt(), without the fallback.
  template <typename Effects>
  UpstreamPtr Choose(const ReplicaCriteria& criteria, TimePoint now,
                     Effects& effects) const;
  template <typename Effects>
  UpstreamPtr ChooseForAttempt(AttemptKind kind, ReplicaCriteria criteria,
                               TimePoint now, Effects& effects) const;
  // Attempts per second that usable upstreams which take one at `time` take.
  double PassRate(TimePoint time) const;

  Options options_;
  std::uint64_t vm_hash_;
  std::size_t relay_group_;
  ServiceLimits limits_;
  double cold_share_ = 0;
  std::vector<UpstreamPtr> upstreams_;            // Preferred ones first.
  std::vector<std::string> data_centres_;         // Sorted.
  std::vector<std::string> usable_data_centres_;  // Sorted.
  // By upstream id: a new incarnation is limited together with the former one,
  // as requests for that may have reached it. Shared with the upstreams, which
  // count what they send.
  std::map<std::string, std::shared_ptr<ColdRateLimiter>, std::less<>>
      cold_rate_limiters_;
  ExtraLoadWindow extra_load_budget_;
  Duration mean_latency_ = std::chrono::milliseconds(20);
  std::size_t rotation_ = 0;
  TimePoint last_first_attempt_{};
  std::size_t subset_size_ = SIZE_MAX;
  WaitingRequests waiting_;
};

using ServicePtr = std::shared_ptr<Service>;

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_SERVICE_H_
