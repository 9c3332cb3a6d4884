#include "lacewingknot/policy/query_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;

// Runs a plan over three shards of two replicas each, with hooks that return
// set versions and spend a set budget.
class QueryPlanTest : public ::testing::Test {
 protected:
  QueryPlanTest() {
    constexpr std::size_t kShards = 3;
    for (std::size_t i = 0; i < kShards; ++i) {
      const auto first = static_cast<UpstreamHandle>(2 * i);
      spec_.shards.push_back({"s" + std::to_string(i), {first, first + 1}});
    }
    spec_.deadline = clock_.now() + milliseconds(500);
    spec_.partial_at = spec_.deadline;
    spec_.attempt_timeout = milliseconds(150);
    spec_.hedging = true;
  }

  QueryHooks Hooks() {
    return {
        .choose_version =
            [this](auto, std::span<const IndexVersion> avoid) {
              for (IndexVersion version : versions_) {
                if (std::find(avoid.begin(), avoid.end(), version) ==
                    avoid.end()) {
                  return version;
                }
              }
              return kAnyVersion;
            },
        .choose_route = [this](const RouteRequest& request) -> Result<Route> {
          for (UpstreamHandle replica : request.replicas) {
            const bool tried =
                std::find(request.tried.begin(), request.tried.end(),
                          replica) != request.tried.end();
            if (!tried && !unusable_.contains(replica)) {
              return Route{.upstream = replica};
            }
          }
          return Error{ErrorType::kNoUsableUpstream, ""};
        },
        .try_spend_extra_load = [this] { return budget_ > 0 && budget_-- > 0; },
        .hedge_delay = [this] { return hedge_delay_; },
        .next_attempt_id = [this] { return ++attempts_; }};
  }

  void Start() {
    plan_.emplace(spec_, Hooks());
    Execute(plan_->Start(clock_.now()));
  }

  void Execute(QueryActions actions) {
    for (const SendAction& send : actions.send) sent_.push_back(send);
    for (AttemptId cancel : actions.cancel) cancelled_.insert(cancel);
    if (!actions.finished) return;
    ++finishes_;
    answer_ = std::move(*actions.finished);
  }

  static Part MakePart(const SendAction& send) {
    return {.shard = "s" + std::to_string(send.shard),
            .version = send.version,
            .items = "[]"};
  }
  void Answer(const SendAction& send) {
    Execute(plan_->OnPart(send.attempt, MakePart(send), clock_.now()));
  }
  void Fail(const SendAction& send, ErrorType type) {
    Execute(plan_->OnFailure(send.attempt, {type, {}}, clock_.now()));
  }
  void AdvanceTo(TimePoint at) {
    if (at > clock_.now()) clock_.Advance(at - clock_.now());
    Execute(plan_->OnTimer(clock_.now()));
  }

  ManualClock clock_;
  QuerySpec spec_;
  std::vector<IndexVersion> versions_{42, 41};
  std::set<UpstreamHandle> unusable_;
  int budget_ = 10;
  std::optional<Duration> hedge_delay_ = milliseconds(20);
  AttemptId attempts_ = 0;
  std::optional<QueryPlan> plan_;
  std::vector<SendAction> sent_;
  std::set<AttemptId> cancelled_;
  int finishes_ = 0;
  std::size_t attempts_failed_ = 0;
  QueryAnswer answer_;
};

TEST_F(QueryPlanTest, FanOut_AllShardsAnswer_CompleteAnswerOfOneVersion) {
  Start();
  ASSERT_EQ(sent_.size(), 3U);
  for (int i = 0; i < 3; ++i) Answer(sent_[i]);
  EXPECT_EQ(finishes_, 1);
  EXPECT_EQ(answer_.parts.size(), 3U);
  EXPECT_TRUE(answer_.missing.empty());
  EXPECT_EQ(answer_.version, 42U);
}

TEST_F(QueryPlanTest, Part_OfAnotherShard_IsNotMerged) {
  Start();
  Part mismatched = MakePart(sent_[0]);
  mismatched.shard = "s1";
  Execute(plan_->OnPart(sent_[0].attempt, mismatched, clock_.now()));
  Answer(sent_[1]);
  Answer(sent_[2]);
  EXPECT_EQ(finishes_, 0) << "the shard is retried";
  Answer(sent_[3]);
  EXPECT_EQ(answer_.parts.size(), 3U);
}

TEST_F(QueryPlanTest, Part_OfAnotherVersion_IsNotMerged) {
  budget_ = 0;
  Start();
  Part other = MakePart(sent_[0]);
  other.version = 41;
  Execute(plan_->OnPart(sent_[0].attempt, other, clock_.now()));
  Answer(sent_[1]);
  Answer(sent_[2]);
  ASSERT_EQ(finishes_, 1);
  EXPECT_EQ(answer_.parts.size(), 2U);
  EXPECT_EQ(answer_.missing[0].reason, ErrorType::kMismatchedAnswer);
}

TEST_F(QueryPlanTest, Part_Twice_CountedOnce) {
  Start();
  Answer(sent_[0]);
  Answer(sent_[0]);
  EXPECT_EQ(plan_->late_events(), 1U);
  Answer(sent_[1]);
  Answer(sent_[2]);
  EXPECT_EQ(answer_.parts.size(), 3U);
}

TEST_F(QueryPlanTest, Part_AfterTheDeadline_IsDropped) {
  Start();
  Answer(sent_[0]);
  AdvanceTo(spec_.deadline);
  ASSERT_EQ(finishes_, 1);
  EXPECT_EQ(answer_.parts.size(), 1U);
  Answer(sent_[1]);
  EXPECT_EQ(finishes_, 1);
  EXPECT_EQ(answer_.missing[0].reason, ErrorType::kDeadlineExceeded);
}

TEST_F(QueryPlanTest, Straggler_HedgeAnswersFirst_LoserCancelled) {
  Start();
  Answer(sent_[0]);
  Answer(sent_[1]);
  AdvanceTo(clock_.now() + milliseconds(20));
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_NE(sent_[3].route.upstream, sent_[2].route.upstream);
  Answer(sent_[3]);
  EXPECT_TRUE(cancelled_.contains(sent_[2].attempt));
  EXPECT_EQ(answer_.hedges, 1U);
  EXPECT_EQ(answer_.parts.size(), 3U);
}

TEST_F(QueryPlanTest, Straggler_BudgetSpent_NoHedge) {
  budget_ = 0;
  Start();
  AdvanceTo(clock_.now() + milliseconds(20));
  EXPECT_EQ(sent_.size(), 3U);
}

TEST_F(QueryPlanTest, Replica_ConnectFails_OtherIsTriedWithoutBudget) {
  budget_ = 0;
  Start();
  Fail(sent_[0], ErrorType::kConnectFailed);
  ASSERT_EQ(sent_.size(), 4U);
  EXPECT_EQ(sent_[3].shard, 0U);
}

TEST_F(QueryPlanTest, Replica_Sheds_RetrySpendsBudget) {
  budget_ = 1;
  Start();
  Fail(sent_[0], ErrorType::kShed);
  Fail(sent_[1], ErrorType::kShed);
  EXPECT_EQ(sent_.size(), 4U);
  EXPECT_EQ(budget_, 0);
}

TEST_F(QueryPlanTest, Version_GoneAtEveryReplica_RestartsOnceOnAnother) {
  Start();
  Answer(sent_[1]);
  Fail(sent_[0], ErrorType::kVersionGone);
  Fail(sent_[3], ErrorType::kVersionGone);
  ASSERT_EQ(sent_.size(), 7U) << "all three shards are queried again";
  for (int i = 4; i < 7; ++i) {
    EXPECT_EQ(sent_[i].version, 41U);
    Answer(sent_[i]);
  }
  EXPECT_EQ(answer_.version, 41U);
  EXPECT_EQ(answer_.parts.size(), 3U);
  EXPECT_TRUE(answer_.restarted);
}

TEST_F(QueryPlanTest, Version_RestartCoversLess_FirstPartsAreAnswered) {
  budget_ = 0;
  Start();
  Answer(sent_[1]);
  Answer(sent_[2]);
  Fail(sent_[0], ErrorType::kVersionGone);
  Fail(sent_[3], ErrorType::kVersionGone);
  for (int i = 4; i < 7; ++i) Fail(sent_[i], ErrorType::kTimeout);
  AdvanceTo(spec_.deadline);
  EXPECT_EQ(answer_.version, 42U);
  EXPECT_EQ(answer_.parts.size(), 2U);
  for (const Part& part : answer_.parts) EXPECT_EQ(part.version, 42U);
}

TEST_F(QueryPlanTest, Version_NoneKnown_OneShardIsProbedFirst) {
  versions_ = {};
  Start();
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_[0].version, kAnyVersion);
  Part part = MakePart(sent_[0]);
  part.version = 7;
  Execute(plan_->OnPart(sent_[0].attempt, part, clock_.now()));
  ASSERT_EQ(sent_.size(), 3U);
  EXPECT_EQ(sent_[1].version, 7U);
}

TEST_F(QueryPlanTest, Probe_EveryUpstreamRefuses_FinishesWithAllShardsMissing) {
  versions_ = {};
  Start();
  for (int guard = 0; finishes_ == 0 && guard < 100; ++guard) {
    if (sent_.size() > attempts_failed_) {
      Fail(sent_[attempts_failed_++], ErrorType::kLimitReached);
    } else {
      AdvanceTo(plan_->NextWake());
    }
  }
  ASSERT_EQ(finishes_, 1);
  EXPECT_TRUE(answer_.parts.empty());
  EXPECT_EQ(answer_.missing.size(), 3U);
}

TEST_F(QueryPlanTest, PartialAfter_ShardsMissing_AnswersWithTheOthers) {
  spec_.partial_at = clock_.now() + milliseconds(80);
  Start();
  Answer(sent_[0]);
  AdvanceTo(spec_.partial_at);
  ASSERT_EQ(finishes_, 1);
  EXPECT_EQ(answer_.parts.size(), 1U);
  EXPECT_EQ(answer_.missing.size(), 2U);
}

// For any order of answers, failures, duplicate and late events and timers, the
// plan finishes once, by its deadline, with parts of one version, each shard at
// most once, and parts and missing shards that add up to the shards asked.
RC_GTEST_FIXTURE_PROP(QueryPlanTest, Plan_AnyEvents_HoldsItsInvariants, ()) {
  const std::vector<ErrorType> failures{
      ErrorType::kTimeout,       ErrorType::kShed,
      ErrorType::kConnectFailed, ErrorType::kVersionGone,
      ErrorType::kWrongShard,    ErrorType::kMalformedAnswer,
      ErrorType::kNotSent,       ErrorType::kLimitReached};
  if (*rc::gen::inRange(0, 4) == 0) versions_ = {};
  budget_ = *rc::gen::inRange(0, 6);
  const int initial_budget = budget_;
  Start();
  for (int step = 0; step < 80 && finishes_ == 0; ++step) {
    if (*rc::gen::inRange(0, 6) == 0) unusable_.insert(*rc::gen::inRange(0, 6));
    const auto pick = static_cast<std::size_t>(
        *rc::gen::inRange<int>(0, static_cast<int>(sent_.size()) + 1));
    if (pick == sent_.size()) {
      AdvanceTo(std::min(clock_.now() + milliseconds(*rc::gen::inRange(1, 60)),
                         spec_.deadline));
      continue;
    }
    const SendAction send = sent_[pick];
    switch (*rc::gen::inRange(0, 3)) {
      case 0: {
        Part part = MakePart(send);
        if (send.version == kAnyVersion) part.version = 41;
        Execute(plan_->OnPart(send.attempt, part, clock_.now()));
        break;
      }
      case 1:
        Fail(send, *rc::gen::elementOf(failures));
        break;
      default: {
        Part part = MakePart(send);
        part.version += 1;
        Execute(plan_->OnPart(send.attempt, part, clock_.now()));
      }
    }
  }
  if (finishes_ == 0) AdvanceTo(spec_.deadline);
  RC_ASSERT(finishes_ == 1);
  RC_ASSERT(clock_.now() <= spec_.deadline);
  RC_ASSERT(answer_.shards_asked == 3U);
  RC_ASSERT(answer_.parts.size() + answer_.missing.size() == 3U);
  std::set<std::string> shards;
  for (const Part& part : answer_.parts) {
    RC_ASSERT(part.version == answer_.version);
    RC_ASSERT(shards.insert(part.shard).second);
  }
  for (const MissingShard& shard : answer_.missing) {
    RC_ASSERT(shards.insert(shard.shard).second);
  }
  RC_ASSERT(budget_ >= 0);
  RC_ASSERT(answer_.hedges <= static_cast<std::size_t>(initial_budget));
}

}  // namespace
}  // namespace lacewingknot
