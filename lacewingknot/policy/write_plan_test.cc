#include "lacewingknot/policy/write_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;

class WritePlanTest : public ::testing::Test {
 protected:
  void Start(int replicas = 2) {
    WriteSpec spec{.shard = {"s", {}}, .deadline = deadline_};
    for (int i = 0; i < replicas; ++i) {
      spec.shard.replicas.push_back(static_cast<UpstreamHandle>(i));
    }
    plan_.emplace(
        spec,
        [](const RouteRequest& request) -> Result<Route> {
          for (UpstreamHandle replica : request.replicas) {
            if (std::find(request.tried.begin(), request.tried.end(),
                          replica) == request.tried.end()) {
              return Route{.upstream = replica};
            }
          }
          return Error{ErrorType::kNoUsableUpstream, ""};
        },
        [this] { return ++attempts_; });
    Execute(plan_->Start(clock_.now()));
  }
  void Execute(WriteActions actions) {
    if (actions.send) sent_.push_back(*actions.send);
    if (actions.finished) {
      ++finishes_;
      result_ = std::move(*actions.finished);
    }
  }

  ManualClock clock_;
  TimePoint deadline_ = clock_.now() + milliseconds(200);
  std::optional<WritePlan> plan_;
  AttemptId attempts_ = 0;
  std::vector<SendAction> sent_;
  int finishes_ = 0;
  WriteResult result_;
};

struct OutcomeCase {
  const char* fault;
  WriteOutcome attempt;
  ErrorType type;
  std::size_t sends;    // Expected in all, with two replicas that fail alike.
  WriteOutcome result;  // Expected.
};

class WriteOutcomeTest : public WritePlanTest,
                         public ::testing::WithParamInterface<OutcomeCase> {};

TEST_P(WriteOutcomeTest, Attempt_Fails_OutcomeIsAsInTheTable) {
  const OutcomeCase& row = GetParam();
  Start();
  for (std::size_t i = 0; i < sent_.size() && finishes_ == 0; ++i) {
    Execute(plan_->OnFailure(sent_[i].attempt, row.attempt, row.type,
                             clock_.now()));
  }
  EXPECT_EQ(sent_.size(), row.sends);
  EXPECT_EQ(finishes_, 1);
  EXPECT_EQ(result_.outcome, row.result);
  EXPECT_EQ(result_.reason, row.type);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, WriteOutcomeTest,
    ::testing::Values(
        OutcomeCase{"connect_failed", WriteOutcome::kNotRun,
                    ErrorType::kConnectFailed, 2, WriteOutcome::kNotRun},
        OutcomeCase{"not_sent", WriteOutcome::kNotRun, ErrorType::kNotSent, 2,
                    WriteOutcome::kNotRun},
        OutcomeCase{"shed", WriteOutcome::kNotRun, ErrorType::kShed, 2,
                    WriteOutcome::kNotRun},
        OutcomeCase{"draining", WriteOutcome::kNotRun,
                    ErrorType::kUpstreamDraining, 2, WriteOutcome::kNotRun},
        OutcomeCase{"connection_lost", WriteOutcome::kUnknown,
                    ErrorType::kConnectionLost, 1, WriteOutcome::kUnknown},
        OutcomeCase{"timeout", WriteOutcome::kUnknown, ErrorType::kTimeout, 1,
                    WriteOutcome::kUnknown},
        OutcomeCase{"mismatched_answer", WriteOutcome::kUnknown,
                    ErrorType::kMismatchedAnswer, 1, WriteOutcome::kUnknown},
        OutcomeCase{"malformed_answer", WriteOutcome::kUnknown,
                    ErrorType::kMalformedAnswer, 1, WriteOutcome::kUnknown}),
    [](const auto& info) { return std::string(info.param.fault); });

TEST_F(WritePlanTest, Deadline_AttemptOutstanding_OutcomeUnknown) {
  Start();
  Execute(plan_->OnDeadline());
  EXPECT_EQ(result_.outcome, WriteOutcome::kUnknown);
}

TEST_F(WritePlanTest, Answer_AfterTheDeadline_IsDropped) {
  Start();
  Execute(plan_->OnDeadline());
  Execute(plan_->OnDone(sent_[0].attempt, "late"));
  EXPECT_EQ(finishes_, 1);
}

TEST_F(WritePlanTest, Retry_AfterAPauseBeyondTheDeadline_IsNotSent) {
  Start();
  clock_.Advance(milliseconds(300));
  Execute(plan_->OnFailure(sent_[0].attempt, WriteOutcome::kNotRun,
                           ErrorType::kShed, clock_.now()));
  EXPECT_EQ(sent_.size(), 1U);
  EXPECT_EQ(result_.outcome, WriteOutcome::kNotRun);
}

// Each attempt runs or not, and its answer arrives or is lost. In any order of
// these, the write runs at most once, and never if the outcome is "not run".
RC_GTEST_FIXTURE_PROP(WritePlanTest, Write_AnyFaults_RunsAtMostOnce, ()) {
  Start(*rc::gen::inRange(1, 5));
  int runs = 0;
  for (std::size_t i = 0; i < sent_.size(); ++i) {
    clock_.Advance(milliseconds(*rc::gen::inRange(0, 90)));
    const AttemptId attempt = sent_[i].attempt;
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        ++runs;
        Execute(plan_->OnDone(attempt, ""));
        break;
      case 1:
        Execute(plan_->OnFailure(attempt, WriteOutcome::kNotRun,
                                 ErrorType::kShed, clock_.now()));
        break;
      case 2:
        ++runs;
        Execute(plan_->OnFailure(attempt, WriteOutcome::kUnknown,
                                 ErrorType::kConnectionLost, clock_.now()));
        break;
      case 3:
        Execute(plan_->OnFailure(attempt, WriteOutcome::kUnknown,
                                 ErrorType::kTimeout, clock_.now()));
        break;
      default:
        ++runs;
        Execute(plan_->OnDeadline());
        Execute(plan_->OnDone(attempt, ""));
    }
  }
  RC_ASSERT(finishes_ == 1);
  RC_ASSERT(runs <= 1);
  RC_ASSERT(result_.outcome != WriteOutcome::kNotRun || runs == 0);
  RC_ASSERT(result_.outcome != WriteOutcome::kDone || runs == 1);
}

class WriteDeduplicatorTest : public ::testing::Test {
 protected:
  ManualClock clock_;
  WriteDeduplicator deduplicator_;
};

TEST_F(WriteDeduplicatorTest, SameId_WhileRunningOrDone_IsRefused) {
  EXPECT_TRUE(deduplicator_.TryBegin("a", clock_.now()));
  EXPECT_FALSE(deduplicator_.TryBegin("a", clock_.now()));
  deduplicator_.OnFinished("a", WriteOutcome::kDone);
  EXPECT_FALSE(deduplicator_.TryBegin("a", clock_.now()));
}

TEST_F(WriteDeduplicatorTest, SameId_AfterUnknown_IsRefused) {
  EXPECT_TRUE(deduplicator_.TryBegin("a", clock_.now()));
  deduplicator_.OnFinished("a", WriteOutcome::kUnknown);
  EXPECT_FALSE(deduplicator_.TryBegin("a", clock_.now()));
}

TEST_F(WriteDeduplicatorTest, SameId_AfterNotRun_MayBeginAgain) {
  EXPECT_TRUE(deduplicator_.TryBegin("a", clock_.now()));
  deduplicator_.OnFinished("a", WriteOutcome::kNotRun);
  EXPECT_TRUE(deduplicator_.TryBegin("a", clock_.now()));
}

TEST_F(WriteDeduplicatorTest,
       Deduplicator_Full_RefusesNewIdsUntilOldOnesExpire) {
  for (std::size_t i = 0; i < WriteDeduplicator::kMaxEntries; ++i) {
    ASSERT_TRUE(deduplicator_.TryBegin(std::to_string(i), clock_.now()));
  }
  EXPECT_EQ(deduplicator_.TryBegin("more", clock_.now()).error().type,
            ErrorType::kOverloaded);
  clock_.Advance(WriteDeduplicator::kRetention + milliseconds(1));
  EXPECT_TRUE(deduplicator_.TryBegin("more", clock_.now()));
}

}  // namespace
}  // namespace lacewingknot
