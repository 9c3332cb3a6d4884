// A request that queries every shard and merges their top records.
//
// Each shard is queried at one replica. A slow or failed attempt is followed by
// another one at a different replica, within the service's extra-load budget.
// DecideQuery (policy/partial_answer.h) decides when to answer with the parts
// that have arrived.
//
// In a large data centre the attempts are delegated to relays
// (policy/relay_ranking.h). The session delegates every attempt separately, so
// that the attempts left over when a relay stops remain with this daemon.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_SCATTER_SESSION_H_
#define LACEWINGKNOT_EDGE_SCATTER_SESSION_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/request_session.h"
#include "lacewingknot/policy/partial_answer.h"

namespace lacewingknot::edge {

class ScatterSession : public RequestSession {
 public:
  explicit ScatterSession(Options options);

  void Start() override;

 private:
  enum class ShardState { kPending, kAnswered, kFailed };

  struct AttemptInFlight {
    AttemptPtr attempt;
    // Exactly one of `upstream` and `relay` is set.
    UpstreamPtr upstream;
    RelayLinkPtr relay;
    // The attempt's number on the relay's connection.
    std::uint64_t number_at_relay = 0;
    bool in_batch = false;    // The relay delivers the part within a batch.
    std::string data_centre;  // Of the relay; empty for any.
  };

  // A data centre to which an attempt at a shard went.
  struct QueriedDataCentre {
    enum class State { kQueried, kDeclined };

    std::string name;
    // kDeclined if its relay declined the latest attempt delegated there.
    State state = State::kQueried;
  };

  struct Shard {
    ShardState state = ShardState::kPending;
    // The relay of the latest attempt; null if that attempt was direct.
    RelayLinkPtr last_relay;
    // One entry per attempt, the latest one last. Entries of the same data
    // centre have the same state.
    std::vector<QueriedDataCentre> queried_data_centres;
    // The only relay that may deliver the shard's part within a batch.
    RelayLinkPtr batch_relay;
    int declined_attempts = 0;  // Attempts that relays did not make.
    bool was_relayed = false;   // An attempt was delegated to a relay.
    std::vector<UpstreamPtr> tried;
    std::vector<AttemptInFlight> in_flight;
    std::int64_t runs = 0;  // Attempts that ran or may have run.
    std::int64_t refusals = 0;
    // Set while the first attempt waits for a replica that takes requests.
    std::optional<WaitingRequests::Id> waiting;
    std::string signature;
    std::string records;             // Of a part delivered outside a batch.
    AnswerBudget::Reservation held;  // For `records`.
    bool is_separate = false;        // The accepted part came outside a batch.
    std::string_view cause;          // Of the last failure.
    // Upstreams that failed at a relay, each after an '@', for the log.
    std::string failed_at_relays;
  };

  // Attempts delegated to one relay in one message.
  struct RelayRequest {
    RelayLinkPtr relay;
    RelayAttemptRequest message;
  };

  // A shard that refuses more attempts than this counts as overloaded.
  static constexpr std::int64_t kMaxRefusals = 3;
  // Attempts per shard that relays may decline before this daemon sends its
  // attempts directly.
  static constexpr int kMaxDeclinedAttempts = 4;

  void OnDeadline() override;
  void AbandonAttempts() override;
  void OnKeyWithdrawn() override;
  std::string LogDetails() const override;

  // Starts the first attempt of every shard that has a usable replica.
  void StartShards();
  // Refuses the query before anything was sent, because too few shards have
  // replicas that take requests before `until`.
  void RefuseWithheld(TimePoint until, TimePoint now);
  // Makes the shard's first attempt, or lets it wait for a replica that takes
  // requests. Returns false if neither is possible.
  bool StartFirstAttempt(std::size_t index, TimePoint now);
  bool WaitForReplica(std::size_t index, TimePoint now);
  // Called when it is the shard's turn; returns whether waiting has ended.
  bool OnTurn(std::size_t index, TimePoint now);

  bool is_urgent() const;
  // Starts an attempt at a replica, through another relay than the last one if
  // possible. Returns false if no replica can be queried.
  bool StartAttempt(std::size_t index, AttemptKind kind, TimePoint now);
  // The same without choosing a relay first. A replica in another data centre
  // is still reached through a relay there, if one is usable.
  bool StartDirectAttempt(std::size_t index, AttemptKind kind, TimePoint now);
  UpstreamPtr ChooseDirectUpstream(Service& service, const Shard& shard,
                                   AttemptKind kind, TimePoint now) const;
  AttemptPtr MakeShardAttempt(std::size_t index, AttemptKind kind);
  // Delegates an attempt to `choice.relay`; SendRelayRequests() sends it.
  void DelegateToRelay(std::size_t index, AttemptKind kind,
                       RelayTable::Choice choice, TimePoint now);
  // Sets the state of the entries of `data_centre`.
  static void SetState(Shard& shard, std::string_view data_centre,
                       QueriedDataCentre::State state);
  // Adds an entry for a direct attempt, which does not change what the relay
  // there has said.
  static void AddDirectQuery(Shard& shard, const std::string& data_centre);
  // Chooses a relay in a data centre not queried yet, or else the last relay
  // for another replica.
  RelayTable::Choice ChooseAnotherRelay(std::size_t index, TimePoint now) const;
  void SendRelayRequests(TimePoint now);
  // Starts a replacement for `declined`, which a relay did not make. Returns
  // whether it did.
  bool RestartDeclinedAttempt(std::size_t index, AttemptKind kind,
                              const AttemptInFlight& declined,
                              std::string_view cause, TimePoint now);
  void OnResult(std::size_t index, const AttemptPtr& attempt, AttemptKind kind,
                AttemptResult result);
  static void AbandonDirectAttempts(Shard& shard);
  // Clears `batch_relay` if `ended`, which gave no part, was the last attempt
  // in flight at that relay.
  static void UpdateBatchRelay(Shard& shard, const AttemptInFlight& ended);
  void AbandonAtRelays();
  // Handles a batch of parts from a relay. All attempts in the batch end before
  // the query is decided.
  void OnBatch(std::string records, AnswerBudget::Reservation held,
               const std::function<void()>& end_attempts);
  // Replaces a part that came separately by the same shard's part in a batch:
  // the records of a batch cannot be told apart by shard.
  static void ReplaceByBatchedPart(Shard& shard, const AttemptResult& result);
  static bool IsPart(const AttemptPtr& attempt, const AttemptResult& result);
  // Marks `shard` as one that can deliver nothing more.
  void MarkFailed(Shard& shard, std::string_view cause);
  static void RecordFailure(Shard& shard, const AttemptPtr& attempt,
                            const AttemptResult& result);
  // Accepts the result if it is a part; otherwise stores the reason in
  // `result.cause`. Returns whether it was a part.
  bool AcceptPart(Shard& shard, const AttemptPtr& attempt, bool separate,
                  AttemptResult& result);
  void OnFailedAttempt(std::size_t index, const AttemptResult& result,
                       TimePoint now);
  bool CanRetry(const Shard& shard) const;
  bool MayHaveRun() const;
  // Starts a second attempt at every shard that still waits for its first one.
  void StartHedges();
  // Answers or fails the query if its progress allows no more waiting.
  void Decide(TimePoint now);
  void Answer();
  void Refuse();
  // Refuses the query before anything was sent, because queries of its route
  // fail by overload.
  void RefuseByAdmission();
  // Whether most of the missing shards are missing because their replicas shed
  // requests or were too slow.
  bool IsOverloaded() const;
  QueryProgress Progress() const;

  std::vector<Shard> shards_;
  TimePoint soft_deadline_{};     // The latency objective, less our own delay.
  TimePoint attempt_deadline_{};  // After it, attempts are of no use.
  TimerQueue::Id start_timer_;
  TimerQueue::Id hedge_timer_;
  TimerQueue::Id answer_timer_;
  TimerQueue::Id deadline_timer_;
  std::vector<RelayRequest> relay_requests_;  // Not sent yet.
  std::vector<RelayLinkPtr> queried_relays_;
  std::vector<std::string> batches_;  // Records of each batch received.
  std::vector<AnswerBudget::Reservation> held_batches_;
  std::uint64_t query_number_ = 0;
  std::size_t answered_shards_ = 0;
  std::size_t failed_shards_ = 0;
  std::size_t hedges_ = 0;
  std::size_t retries_ = 0;
  std::size_t denied_extra_attempts_ = 0;  // Denied by the extra-load budget.
  // Several attempts start or end together; sending and deciding happen once,
  // after all of them.
  bool is_decision_deferred_ = false;
  bool any_attempt_may_have_run_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_SCATTER_SESSION_H_
