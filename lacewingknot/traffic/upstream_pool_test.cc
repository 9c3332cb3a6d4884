// Tests of UpstreamPool and the upstream protocol against a fake upstream with
// faults.
//
// The fake's counters are the reference for what was sent. The event loop runs
// until the call has ended; no test depends on how long that takes.

#include "lacewingknot/traffic/upstream_pool.h"

#include <gtest/gtest.h>

#include "testing/fake_upstream.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using testing::FakeUpstream;
using testing::UpstreamFaults;

class UpstreamPoolTest : public ::testing::Test {
 protected:
  UpstreamPoolTest()
      : upstream_(io_, {.name = "u",
                        .shard = "s",
                        .slots = 4,
                        .connect_delay = Duration::zero(),
                        .service_time = milliseconds(1),
                        .starts_cold = false}),
        table_({.fleet = {.self = "vm-0", .lease = std::chrono::hours(1)}}),
        pool_(io_, table_, {.clock = clock_.AsClock(), .refresh = [] {}}) {
    Publish("warmup = false\n");
    table_.ApplyVmList(std::make_shared<VmList>(VmList{1, {{.id = "vm-0"}}}),
                       clock_.now());
    table_.set_permit_until(clock_.now() + std::chrono::hours(1));
    handle_ = *table_.Find("u");
  }

  void Publish(const std::string& service, const std::string& state = "in") {
    const std::string text =
        "revision = " + std::to_string(++revision_) +
        "\n[data_centre.a]\nstate = \"" + state + "\"\n[service.s]\n" +
        service + "[upstream.u]\nservice = \"s\"\naddress = \"127.0.0.1:" +
        std::to_string(upstream_.port()) + "\"\ndata_centre = \"a\"\n";
    table_.ApplySettings(ParseSettings(text).tree);
  }

  // Submits one call and runs the event loop until it has ended.
  CallResult Call(const std::function<HttpCall(Duration)>& make_call,
                  Duration timeout = milliseconds(300)) {
    std::optional<CallResult> result;
    pool_.Submit(++attempt_, handle_, timeout, make_call,
                 [&](CallResult done) { result = std::move(done); });
    while (!result) io_.run_one();
    return std::move(*result);
  }

  SubRequest Request(IndexVersion version = kAnyVersion) const {
    return {.attempt = "a" + std::to_string(attempt_ + 1),
            .shard = "s",
            .version = version,
            .query = "q"};
  }

  Result<SubAnswer> Query(IndexVersion version = kAnyVersion) {
    const SubRequest request = Request(version);
    CallResult result = Call([&](Duration) { return MakeQueryCall(request); });
    if (!result.reply) return result.reply.error();
    std::vector<IndexVersion> versions;
    return ParseQueryReply(request, result.reply.value(), versions);
  }

  struct Written {
    WriteOutcome outcome;
    bool sent;
  };
  Written Write(const std::string& id) {
    const SubRequest request = Request();
    CallResult result =
        Call([&](Duration) { return MakeWriteCall(id, request); });
    if (!result.reply) {
      return {result.sent ? WriteOutcome::kUnknown : WriteOutcome::kNotRun,
              result.sent};
    }
    return {ParseWriteReply(request.attempt, result.reply.value()).outcome,
            result.sent};
  }

  boost::asio::io_context io_{1};
  ManualClock clock_;
  FakeUpstream upstream_;
  UpstreamTable table_;
  UpstreamPool pool_;
  UpstreamHandle handle_ = 0;
  AttemptId attempt_ = 0;
  std::uint64_t revision_ = 0;
};

struct QueryFault {
  const char* name;
  bool UpstreamFaults::*fault;
  ErrorType type;
};

class QueryFaultTest : public UpstreamPoolTest,
                       public ::testing::WithParamInterface<QueryFault> {};

TEST_P(QueryFaultTest, Query_UpstreamFault_FailsWithTypeThenRecovers) {
  ASSERT_TRUE(Query());
  upstream_.faults().*GetParam().fault = true;
  const auto answer = Query();
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().type, GetParam().type);
  upstream_.faults().*GetParam().fault = false;
  table_.ApplySettings(table_.settings());
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(Query());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, QueryFaultTest,
    ::testing::Values(
        QueryFault{"crossed", &UpstreamFaults::mismatched_attempt,
                   ErrorType::kMismatchedAnswer},
        QueryFault{"truncated", &UpstreamFaults::truncated,
                   ErrorType::kConnectionLost},
        QueryFault{"short_items", &UpstreamFaults::short_items,
                   ErrorType::kMalformedAnswer},
        QueryFault{"shed", &UpstreamFaults::shed, ErrorType::kShed},
        QueryFault{"wrong_shard", &UpstreamFaults::wrong_shard,
                   ErrorType::kWrongShard},
        QueryFault{"drop_before_run", &UpstreamFaults::drop_before_run,
                   ErrorType::kConnectionLost},
        QueryFault{"drop_after_run", &UpstreamFaults::drop_after_run,
                   ErrorType::kConnectionLost}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(UpstreamPoolTest, Query_AnswerOfAnotherVersion_IsRefused) {
  upstream_.faults().wrong_version = true;
  EXPECT_EQ(Query(42).error().type, ErrorType::kMismatchedAnswer);
}

TEST_F(UpstreamPoolTest, Query_VersionGone_FailsWithVersionGone) {
  EXPECT_EQ(Query(7).error().type, ErrorType::kVersionGone);
}

TEST_F(UpstreamPoolTest,
       Write_IdleConnectionClosedAfterRun_RunsOnceAndIsUnknown) {
  ASSERT_TRUE(Query());  // Leaves an idle connection in the pool.
  upstream_.faults().drop_after_run = true;
  EXPECT_EQ(Write("w1").outcome, WriteOutcome::kUnknown);
  EXPECT_EQ(upstream_.counts().writes, 1U);
  EXPECT_EQ(upstream_.counts().writes_repeated, 0U);
}

TEST_F(UpstreamPoolTest, Write_IdleConnectionClosedBeforeRun_IsNotSentAgain) {
  ASSERT_TRUE(Query());
  upstream_.faults().drop_before_run = true;
  EXPECT_EQ(Write("w1").outcome, WriteOutcome::kUnknown);
  EXPECT_EQ(upstream_.counts().writes, 0U);
}

TEST_F(UpstreamPoolTest, Write_UpstreamDown_DoesNotRun) {
  ASSERT_TRUE(Query());
  upstream_.SetDown(true);
  // The fake accepts connections and resets them, so bytes may be sent: the
  // outcome may be unknown or not run, but must agree with the fake's counters.
  EXPECT_NE(Write("w1").outcome, WriteOutcome::kDone);
  EXPECT_EQ(upstream_.counts().writes, 0U);
}

TEST_F(UpstreamPoolTest, Write_Shed_OutcomeNotRunAndDoesNotRun) {
  upstream_.faults().shed = true;
  EXPECT_EQ(Write("w1").outcome, WriteOutcome::kNotRun);
  EXPECT_EQ(upstream_.counts().writes, 0U);
}

TEST_F(UpstreamPoolTest, Write_MismatchedAnswer_OutcomeUnknown) {
  upstream_.faults().mismatched_attempt = true;
  EXPECT_EQ(Write("w1").outcome, WriteOutcome::kUnknown);
  EXPECT_EQ(upstream_.counts().writes, 1U);
}

TEST_F(UpstreamPoolTest, IdleConnections_Silent_NextCallOpensNewOne) {
  ASSERT_TRUE(Query());
  upstream_.SilenceConnections();
  EXPECT_EQ(Query().error().type, ErrorType::kTimeout);
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(Query());
}

TEST_F(UpstreamPoolTest, DataCentre_TakenOutBeforeSending_NothingIsSent) {
  ASSERT_TRUE(Query());
  const std::uint64_t before = upstream_.counts().queries;
  std::optional<CallResult> result;
  const SubRequest request = Request();
  pool_.Submit(
      ++attempt_, handle_, milliseconds(300),
      [&](Duration) { return MakeQueryCall(request); },
      [&](CallResult done) { result = std::move(done); });
  Publish("warmup = false\n", "out");
  while (!result) io_.run_one();
  EXPECT_FALSE(result->sent);
  EXPECT_EQ(upstream_.counts().queries, before);
}

TEST_F(UpstreamPoolTest, Permit_ExpiredDuringPause_NothingIsSent) {
  ASSERT_TRUE(Query());
  clock_.Advance(std::chrono::hours(2));
  const auto answer = Query();
  EXPECT_EQ(answer.error().type, ErrorType::kNotReady);
  EXPECT_EQ(upstream_.counts().queries, 1U);
}

TEST_F(UpstreamPoolTest, CancelledCall_LateAnswer_IsDiscarded) {
  const SubRequest request = Request();
  bool called = false;
  pool_.Submit(
      ++attempt_, handle_, milliseconds(300),
      [&](Duration) { return MakeQueryCall(request); },
      [&](const CallResult&) { called = true; });
  io_.poll();
  pool_.Cancel(attempt_);
  ASSERT_TRUE(Query());
  EXPECT_FALSE(called);
}

TEST_F(UpstreamPoolTest, CancelIfUnsent_CallAlreadySent_DoneIsCalled) {
  const SubRequest request = Request();
  bool called = false;
  const std::uint64_t sent = upstream_.counts().queries;
  pool_.Submit(
      ++attempt_, handle_, milliseconds(300),
      [&](Duration) { return MakeQueryCall(request); },
      [&](const CallResult&) { called = true; });
  while (upstream_.counts().queries == sent) io_.run_one();
  pool_.CancelIfUnsent(attempt_);
  while (pool_.outstanding() > 0) io_.run_one();
  EXPECT_TRUE(called);
}

TEST_F(UpstreamPoolTest, LastConnection_Lost_WarmUpReportIsWithdrawn) {
  Publish("warmup = true\ncold_concurrency = 1\n");
  ASSERT_FALSE(table_.Status(handle_, clock_.now()).is_owner);
  table_.OnConnections(handle_, 1, false, clock_.now());
  table_.OnAnswer(handle_, {.instance = "i"}, clock_.now());
  ASSERT_EQ(table_.UpstreamsNeedingReports(clock_.now()).size(), 1U);
  table_.OnConnections(handle_, 0, true, clock_.now());
  EXPECT_TRUE(table_.WarmupReports().empty())
      << "the warm-up report is withdrawn with the last connection";
}

}  // namespace
}  // namespace lacewingknot
