// One upstream as this daemon knows it: its record, its connections, the queue
// of attempts, and the health state that follows from its answers.
//
// Attempts are queued by priority while every connection is busy. When the
// upstream becomes unusable, queued attempts end as kNotSent, so that their
// sessions can start them elsewhere; attempts in flight continue. It is usable
// again when the last of the reasons against it has ended.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_UPSTREAM_H_
#define LACEWINGKNOT_EDGE_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/edge/timer_queue.h"
#include "lacewingknot/edge/upstream_connection.h"
#include "lacewingknot/edge/upstream_directory.h"
#include "lacewingknot/policy/cold_presumption.h"
#include "lacewingknot/policy/cold_rate_limiter.h"
#include "lacewingknot/policy/concurrency_limit.h"
#include "lacewingknot/policy/connection_ramp.h"
#include "lacewingknot/policy/failure_share.h"
#include "lacewingknot/policy/replica_choice.h"
#include "lacewingknot/policy/slowness.h"
#include "lacewingknot/policy/statement_table.h"
#include "lacewingknot/policy/upstream_gate.h"

namespace lacewingknot::edge {

// Why no new attempts may be sent to an upstream.
enum class UnusableReason {
  kDraining,     // Until its record says otherwise.
  kEvacuated,    // Until the evacuation of its data centre ends.
  kLeaving,      // By its own statement, for the rest of its incarnation.
  kMisdirected,  // Another upstream answered at its address a short time ago.
  kRetired,      // For good.
};

class Upstream : public std::enable_shared_from_this<Upstream> {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    TimerQueue* timers = nullptr;
    const HeaderNames* names = nullptr;
    UpstreamRecord record;
    boost::asio::ip::tcp::endpoint endpoint;
    bool is_local = false;  // In this daemon's data centre.
    // Start of this process, from which its connections grow in number
    // (policy/connection_ramp.h).
    TimePoint process_started_at{};
    // Every attempt at this upstream is abandoned soon if it gets no answer, so
    // that dead connections need no keep-alive probes.
    bool has_short_attempts = false;
    // Returns how long ago the store confirmed what it holds; empty if that is
    // not known. May be empty.
    std::function<std::optional<Duration>(TimePoint now)> store_age;
    // Called when the upstream's health state changes, for the log.
    std::function<void(const UpstreamRecord& record, std::string_view health,
                       std::string_view cause)>
        on_health_change;
    // Called when is_usable() changes, before queued attempts end.
    std::function<void()> on_usability_change;
    std::function<void()> on_connection_opened;
    // Limits the answers that are held, of all upstreams.
    std::shared_ptr<AnswerBudget> answer_budget;
    AnswerDroppedHook on_answer_dropped;
    // Called when the upstream is presumed cold, by `cause`, or has stated how
    // long it is cold, for the log.
    std::function<void(const UpstreamRecord& record, bool is_cold,
                       std::string_view cause)>
        on_cold_presumption;
    // Called when an answer changes what the upstream says of itself, or what
    // daemon `from` reports does; `from` is empty for an answer.
    std::function<void(const UpstreamRecord& record, const UpstreamGate& gate,
                       const UpstreamGate::Changes& changes,
                       std::string_view from)>
        on_statement_change;
    // Whether a limit of requests in flight is learned from the answers.
    bool learns_limit = false;
    // Called when an attempt is answered, with the limit then in force.
    std::function<void(const AttemptObservation& observation)>
        on_attempt_observed;
    // Called when the limit differs by a quarter or more from the one of the
    // last call, or from the slots.
    std::function<void(const UpstreamRecord& record, std::int64_t from,
                       std::int64_t to)>
        on_limit_change;
  };

  explicit Upstream(Options options);

  // Queues or sends `attempt`. May call `attempt->on_done` before it returns.
  void Submit(AttemptPtr attempt);

  // Opens a connection if there is none, so that the next request need not wait
  // for it. After the first time, does so only if `in_use`. Returns whether it
  // opened one.
  bool Preconnect(bool in_use, TimePoint now);

  // Drops `attempt`, whose result is no longer needed: removes it from the
  // queue, or closes its connection if it is still in flight after
  // kAbandonGrace.
  void Abandon(const AttemptPtr& attempt);

  // Replaces the record by a newer one of the same incarnation.
  // ApplyUsability() must follow.
  void UpdateRecord(UpstreamRecord record) {
    options_.record = std::move(record);
    limit_.set_slots(options_.record.slots);
  }
  // Sets whether the upstream's data centre is evacuated. ApplyUsability() must
  // follow.
  void set_evacuated(bool evacuated) { evacuated_ = evacuated; }
  // Applies a change of is_usable() since the last call: queued attempts of an
  // upstream that has become unusable end as kNotSent with `cause`.
  void ApplyUsability(std::string_view cause = "unusable");
  // Sets this daemon's share of the connections that the upstream accepts.
  void set_connection_share(std::int64_t share) { ramp_.set_limit(share); }
  // Sets this daemon's share of a rate that the upstream states.
  void set_rate_share(double share) { gate_.set_rate_share(share); }
  // How upstreams of the service start: if they are limited while cold, one
  // that may have restarted unnoticed is presumed cold.
  struct ColdStart {
    bool is_limited = false;
    Duration cold_time{};
    std::string health_path;  // Empty if there are no health checks.
  };
  void set_cold_start(ColdStart cold_start);
  // Sets what counts the requests that are sent to the upstream under this id.
  void set_cold_rate_limiter(std::shared_ptr<ColdRateLimiter> limiter) {
    cold_rate_limiter_ = std::move(limiter);
  }
  // Whether the upstream is warm, or one more request at `now` keeps within
  // `share` requests a second.
  bool PassesColdRateLimit(double share, TimePoint now) const;
  // Whether the upstream is cold by its record or presumed to be.
  bool IsCold(TimePoint now) const;
  // Asks an upstream that is only presumed cold how long it is cold, unless it
  // was asked lately.
  void VerifyCold(TimePoint now);
  // Whether what the upstream says leaves room for one more attempt now.
  GateDecision CheckGate(TimePoint now) { return gate_.Check(now); }
  const UpstreamGate& gate() const { return gate_; }
  // Counts a request that could be sent here.
  void CountDemand() { gate_.CountDemand(); }
  // Returns this daemon's demand if the upstream states a rate and a report to
  // its keeper is due (policy/demand_shares.h); empty otherwise.
  std::optional<DemandReport> TakeDueDemandReport(TimePoint now);
  // Applies the keeper's answer.
  void OnDemandSum(const DemandSum& sum, TimePoint now);
  // Applies what daemon `from` reports of this upstream.
  void OnReport(const StatementReport& report, std::string_view from,
                TimePoint now);
  // Applies what this daemon has learnt of this incarnation before.
  void Restore(const StatementTable::Known& known, TimePoint now);
  // The first reason that holds, in the order of UnusableReason; empty if new
  // attempts may be sent here.
  std::optional<UnusableReason> unusable_reason() const;
  bool is_usable() const { return !unusable_reason(); }

  // Closes idle connections now and busy ones when their exchange ends.
  void Retire();

  // The load and expected latency for the choice of a replica. `usual` is the
  // mean latency of such a request.
  ReplicaLoad CurrentLoad(Duration usual, TimePoint now) const;

  bool is_local() const { return options_.is_local; }
  const UpstreamRecord& record() const { return options_.record; }

 private:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

  // How long an abandoned attempt may continue before its connection is closed.
  // Waiting for an attempt that is nearly done costs less than a new
  // connection.
  static constexpr Duration kAbandonGrace = std::chrono::milliseconds(300);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
  // Idle time after which a connection is not used again, if the upstream does
  // not state a timeout.
  static constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
  // A connection is not used in this last part of the idle timeout that the
  // upstream states.
  static constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(600);
  // Backoff after consecutive failures; doubles up to kMaxBackoff.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(60);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(1'000);
  // How long an address is not used after another upstream answered there. The
  // directory names the new address long before this ends.
  static constexpr Duration kMisdirectedBackoff = std::chrono::seconds(6);
  // Interval of health checks while the upstream is presumed cold, and how long
  // one may take.
  static constexpr Duration kHealthCheckInterval =
      std::chrono::milliseconds(250);
  static constexpr Duration kHealthCheckTimeout = std::chrono::seconds(1);
  // A process that ends breaks off its connections within this time. One that
  // was opened before and remains shows that the process runs.
  static constexpr Duration kBreakOffSpan = std::chrono::milliseconds(500);
  // Without connections a restart in this time is unlikely: processes need
  // about as long to start.
  static constexpr Duration kStateLifetime = std::chrono::milliseconds(500);
  // Health checks precede queued requests.
  static constexpr std::int64_t kHealthCheckPriority = -1;

  void Dispatch();
  void DispatchOnce();
  // Sends the first queued attempt that an idle connection may carry; returns
  // whether there was one.
  bool SendNextQueued(TimePoint now);
  // Returns an idle connection that may carry `attempt`; null if there is none.
  ConnectionPtr IdleConnectionFor(const Attempt& attempt) const;
  void CloseExpired(TimePoint now);
  // Closes one idle connection; returns whether there was one.
  bool CloseOneIdle(std::string_view cause);
  void OpenConnection();
  void OnConnectTimeout(const ConnectionPtr& connection);
  void OnOpened();
  void OnClosed(bool opened, std::string_view cause);
  // Records a sign that the upstream has restarted: queued attempts must be
  // chosen again under the limits of cold upstreams.
  void OnRestartSign(std::string_view cause);
  // The upstream broke off a connection.
  void OnBrokenOff(std::string_view cause);
  // Presumes the upstream cold, and asks it, if a first connection opens and
  // neither an answer nor the store has confirmed its state lately.
  void PresumeColdIfUnconfirmed();
  // Counts a request that is sent at `now`.
  void CountSent(const Attempt& attempt, TimePoint now);
  bool HasOpenConnection() const;
  void CheckHealth();
  void Enqueue(AttemptPtr attempt);
  void OnExchange(const AttemptPtr& attempt, AttemptResult result);
  void RecordOutcome(const Attempt& attempt, const AttemptResult& result,
                     TimePoint now);
  // Passes the outcome to the estimate of the limit, if that is enabled.
  void RecordDepth(const Attempt& attempt, const AttemptResult& result,
                   TimePoint now);
  void RecordFailure(std::string_view cause, TimePoint now);
  void RecordStatement(const UpstreamReply& reply, TimePoint now);
  void OnStatementChange(const UpstreamGate::Changes& changes,
                         std::string_view from);
  void RecordSuccess();
  void OnMisdirected();
  void CloseIdle(std::string_view cause);
  void FailQueue(std::string_view cause);
  void RemoveClosed();
  std::size_t CountInState(UpstreamConnection::State state) const;

  Options options_;
  bool was_usable_ = true;  // When it was last applied.
  bool evacuated_ = false;
  bool retired_ = false;
  bool was_preconnected_ = false;
  bool misdirected_ = false;  // Another upstream answers at the address.
  std::vector<ConnectionPtr> connections_;
  std::deque<AttemptPtr> queue_;
  bool dispatching_ = false;
  bool dispatch_again_ = false;
  ConnectionRamp ramp_;
  SlownessEstimator slowness_;
  ConcurrencyLimit limit_;
  std::int64_t reported_limit_ = 1;  // By `on_limit_change`.
  UpstreamGate gate_;
  ColdStart cold_start_;
  ColdPresumption cold_presumption_;
  std::shared_ptr<ColdRateLimiter> cold_rate_limiter_ =
      std::make_shared<ColdRateLimiter>();
  // First of the connections that broke off within kBreakOffSpan.
  TimePoint broken_off_at_{};
  TimePoint next_health_check_at_{};
  TimePoint answered_at_{};  // Latest answer.
  FailureShare failure_share_;
  int consecutive_failures_ = 0;
  TimePoint backoff_until_{};
};

using UpstreamPtr = std::shared_ptr<Upstream>;

// Returns what is known of the upstream by answers to this daemon.
StatementReport MakeStatementReport(const UpstreamRecord& record,
                                    const UpstreamGate& gate, TimePoint now);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_UPSTREAM_H_
