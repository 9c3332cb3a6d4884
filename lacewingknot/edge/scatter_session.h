// A request that asks every shard and answers with their greatest records.
//
// Each shard is asked at one replica; a slow or failed one is asked once more
// elsewhere, within the service's budget of extra attempts. JudgeQuery
// (policy/partial_answer.h) says when to answer with what is there.

#ifndef LACEWINGKNOT_EDGE_SCATTER_SESSION_H_
#define LACEWINGKNOT_EDGE_SCATTER_SESSION_H_

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
  enum class ShardState { kWaiting, kAnswered, kLost };

  struct LiveAttempt {
    AttemptPtr attempt;
    UpstreamPtr upstream;
  };

  struct Shard {
    ShardState state = ShardState::kWaiting;
    std::vector<UpstreamPtr> tried;
    std::vector<LiveAttempt> live;
    std::int64_t runs = 0;  // Attempts that ran or may have run.
    std::int64_t refusals = 0;
    std::string signature;
    std::string records;
    std::string_view cause;  // Of the last failure.
  };

  // Refusals that one shard bears; more say that it is overloaded.
  static constexpr std::int64_t kMaxRefusals = 3;

  void AbandonAttempts() override;
  std::string LogDetails() const override;

  ExtraNeed NeedOf(AttemptKind kind) const;
  // False if no replica can be asked.
  bool Place(std::size_t index, AttemptKind kind, TimePoint now);
  void OnResult(std::size_t index, const AttemptPtr& attempt, AttemptKind kind,
                AttemptResult result);
  static void AbandonLive(Shard& shard);
  bool TakePart(Shard& shard, AttemptResult& result);
  void OnFailedAttempt(std::size_t index, const AttemptResult& result,
                       TimePoint now);
  bool MayRetry(const Shard& shard) const;
  void Hedge();
  void Judge(TimePoint now);
  void Answer();
  void Refuse();
  QueryProgress Progress() const;

  std::vector<Shard> shards_;
  TimePoint answer_by_{};
  TimePoint useful_until_{};
  TimerQueue::Id hedge_timer_;
  TimerQueue::Id answer_timer_;
  TimerQueue::Id deadline_timer_;
  std::size_t hedges_ = 0;
  std::size_t retries_ = 0;
  std::size_t denied_ = 0;  // Extra attempts beyond the budget.
  bool placing_ = false;    // Start is placing the first attempts.
  bool anything_ran_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_SCATTER_SESSION_H_
