// Tests queries that go through a relay. A proxy between the two daemons
// injects connection faults.

#include "lacewingknot/edge/relay_session.h"

#include "lacewingknot/edge/relay_server.h"
#include "lacewingknot/edge/request_explanation.h"
#include "testing/edge_fixture.h"
#include "testing/fault_proxy.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using testing::FakeConnection;
using testing::FakeReply;
using testing::FakeRequest;
using testing::FaultProxy;

using ConnectionArg = const std::shared_ptr<FakeConnection>&;

class RelaySessionTest : public testing::EdgeFixture {
 protected:
  RelaySessionTest()
      : relay_core_({.io = &io_,
                     .names = &names_,
                     .metrics = &relay_metrics_,
                     .started_at = BootClock::now() - std::chrono::minutes(1),
                     .data_centre = "here",
                     .extra_ratio = 0.2,
                     .extra_attempts = 100}),
        relay_({.core = &relay_core_, .listen = "127.0.0.1:0"}) {
    EXPECT_TRUE(relay_.Listen().has_value());
    proxy_.emplace(io_, relay_.port());
  }

  // Gives the relay the routes and the directory of the entry daemon.
  void ShareConfiguration() {
    relay_core_.ApplyRouting(core_.routes()->table);
    relay_core_.ApplyDirectory(std::make_shared<Directory>(*core_.directory()));
  }

  // Makes the relay the preferred one of every group. The other candidates do
  // not listen.
  void UseRelay() {
    std::vector<RelayCandidate> candidates{
        {.address = "127.0.0.1:" + std::to_string(proxy_->port()),
         .processor_share = 1e6}};
    for (std::size_t i = 1; i < kCandidates; ++i) {
      candidates.push_back({.address = "127.0.0.1:" + std::to_string(i)});
    }
    core_.set_members({{"here", candidates}}, "127.0.0.1:9999");
    RunUntil([&] { return Relay() != nullptr; });
  }

  RelayLinkPtr Relay() const {
    static const std::vector<std::string> data_centres{"here"};
    return core_.relay_table()
        .ChooseRelay({.replica_data_centres = data_centres}, BootClock::now())
        .relay;
  }

  static constexpr std::size_t kCandidates = 8;

  static RouteSpec Route() {
    RouteSpec route = ScatterRoute({"a", "b"});
    route.target_latency = milliseconds(400);
    return route;
  }

  // Whether the daemon with `metrics` made attempts at upstreams itself.
  static bool HasMadeAttempts(const EdgeMetrics& metrics) {
    constexpr std::string_view kLine =
        "attempts_total{end=\"answered\",kind=\"first\"} ";
    const std::string text = metrics.Render();
    const auto found = text.find(kLine);
    return found != std::string::npos && text[found + kLine.size()] != '0';
  }

  EdgeMetrics relay_metrics_;
  EdgeCore relay_core_;
  RelayServer relay_;
  std::optional<FaultProxy> proxy_;
};

TEST_F(RelaySessionTest, Query_RelayUsable_IsAnsweredThroughRelay) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, MakeRecord('z') + MakeRecord('k'));
  EXPECT_EQ(reply.header("X-Missing"), "0");
  EXPECT_TRUE(HasMadeAttempts(relay_metrics_));
  EXPECT_FALSE(HasMadeAttempts(metrics_));
}

// Guards against an explanation that names replicas where a relay chooses them.
TEST_F(RelaySessionTest, Query_RelayUsable_ExplanationNamesRelay) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  UseRelay();
  const RequestExplanation explanation = ExplainRequest(
      core_, {.host = "h.example", .target = "/s/1"}, BootClock::now());
  EXPECT_EQ(explanation.verdict.outcome, "sent");
  EXPECT_EQ(explanation.shards->relay, 2U);
  for (const PlacementExplanation& placement : explanation.placements) {
    EXPECT_EQ(placement.relay, Relay()->address());
    EXPECT_EQ(placement.chosen, "");
    EXPECT_EQ(placement.replicas.size(), 1U);
  }
}

// Guards against keys, or names that clients chose, in what relays send on.
TEST_F(RelaySessionTest, Query_OfTeam_RelaySendsTeamAndNoKey) {
  auto& upstream = AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  teams_ = {{.team = {.name = "search"}, .keys = {DigestOfKey("k-4711")}}};
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  testing::RawClient client(io_, server_.port());
  client.Write(
      "GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: a\r\n"
      "X-Team: forged\r\nAuthorization: Bearer k-4711\r\n\r\n");
  RunUntil([&] { return !client.received().empty(); });
  EXPECT_EQ(client.received().substr(9, 3), "200");
  EXPECT_TRUE(HasMadeAttempts(relay_metrics_));
  EXPECT_FALSE(HasMadeAttempts(metrics_));
  for (const FakeRequest& request : upstream.requests) {
    EXPECT_EQ(request.header("X-Team"), "search");
    EXPECT_EQ(request.headers.count("X-Team"), 1U);
    EXPECT_EQ(request.headers.count("Authorization"), 0U);
  }
}

TEST_F(RelaySessionTest, Relay_ConnectionLost_QueryIsAnsweredCompletely) {
  auto& silent_replica = AddUpstream("a", NeverReplies());
  auto& second_replica = AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  testing::RawClient client(io_, server_.port());
  // Repeats queries until the relay sends one to the replica that never
  // answers.
  for (int i = 0; silent_replica.requests.empty(); ++i) {
    client.Write("GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: q" +
                 std::to_string(i) + "\r\n\r\n");
    RunFor(milliseconds(60));
  }
  const std::string id = silent_replica.requests.back().header("X-Id");
  proxy_->set_fault(FaultProxy::Fault::kReset);
  RunUntil(
      [&] { return client.received().find(": " + id) != std::string::npos; });
  const auto attempt_count = std::count_if(
      second_replica.requests.begin(), second_replica.requests.end(),
      [&](const FakeRequest& seen) { return seen.header("X-Id") == id; });
  EXPECT_EQ(attempt_count, 1);
  EXPECT_EQ(client.received().find("X-Missing: 1"), std::string::npos);
}

TEST_F(RelaySessionTest, Relay_Unresponsive_EntryQueriesShardsInTime) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  proxy_->set_fault(FaultProxy::Fault::kSilent);
  const TimePoint started_at = BootClock::now();
  EXPECT_EQ(SendRequest("/s/1", "id-1").header("X-Missing"), "0");
  EXPECT_LT(BootClock::now() - started_at, milliseconds(390));
  EXPECT_TRUE(HasMadeAttempts(relay_metrics_) ||
              upstreams_[0].requests.size() + upstreams_[1].requests.size() ==
                  1);
  // The unresponsive relay is not used again.
  const TimePoint second_call_at = BootClock::now();
  EXPECT_EQ(SendRequest("/s/1", "id-2").header("X-Missing"), "0");
  EXPECT_LT(BootClock::now() - second_call_at, milliseconds(100));
}

TEST_F(RelaySessionTest, Replicas_AllFail_AttemptsStayWithinRouteLimit) {
  const Handler reply_with_error = [](const FakeRequest& request,
                                      ConnectionArg connection) {
    FakeReply reply = SignedReply(request, MakeRecord('x'));
    reply.status = 500;
    connection->Reply(reply);
  };
  for (int i = 0; i < 4; ++i) AddUpstream("a", reply_with_error);
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  EXPECT_EQ(SendRequest("/s/1").header("X-Missing"), "1");
  std::size_t attempt_count = 0;
  for (int i = 0; i < 4; ++i) attempt_count += upstreams_[i].requests.size();
  EXPECT_EQ(attempt_count, 2U);
}

TEST_F(RelaySessionTest, Relay_ServicesUnknown_EntryQueriesShards) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  UseRelay();
  EXPECT_EQ(SendRequest("/s/1").header("X-Missing"), "0");
  EXPECT_FALSE(HasMadeAttempts(relay_metrics_));
}

TEST_F(RelaySessionTest, Client_Disconnects_RelayAbandonsAttempts) {
  bool is_gone = false;
  auto& upstream =
      AddUpstream("a", [&](const FakeRequest&, ConnectionArg connection) {
        connection->set_on_peer_closed([&] { is_gone = true; });
      });
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  testing::RawClient client(io_, server_.port());
  client.Write("GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: q\r\n\r\n");
  RunUntil([&] { return !upstream.requests.empty(); });
  client.Close();
  const TimePoint disconnected_at = BootClock::now();
  RunUntil([&] { return is_gone; });
  EXPECT_LT(BootClock::now() - disconnected_at, milliseconds(500));
}

TEST_F(RelaySessionTest, Relay_Stopping_FinishesQueryAndGetsNoMore) {
  std::shared_ptr<FakeConnection> pending_connection;
  FakeRequest pending_request;
  AddUpstream("a", [&](FakeRequest request, ConnectionArg connection) {
    if (pending_connection) {
      connection->Reply(SignedReply(request, MakeRecord('k')));
      return;
    }
    pending_request = std::move(request);
    pending_connection = connection;
  });
  ApplyRoutes({ScatterRoute({"a"})});
  ShareConfiguration();
  UseRelay();
  testing::RawClient client(io_, server_.port());
  client.Write("GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: q\r\n\r\n");
  RunUntil([&] { return pending_connection != nullptr; });
  relay_.AnnounceStop();
  RunUntil([&] { return Relay() == nullptr; });
  pending_connection->Reply(SignedReply(pending_request, MakeRecord('k')));
  RunUntil([&] { return !client.received().empty(); });
  EXPECT_NE(client.received().find("X-Missing: 0"), std::string::npos);
  EXPECT_FALSE(HasMadeAttempts(metrics_));
  EXPECT_EQ(SendRequest("/s/1", "id-2").header("X-Missing"), "0");
  EXPECT_TRUE(HasMadeAttempts(metrics_));
}

// Guards against sending an empty request upstream: a link that reconnects can
// delegate another attempt of a query whose request this relay never received.
TEST_F(RelaySessionTest, Attempt_QueryUnknownToRelay_ReachesNoUpstream) {
  auto& upstream = AddUpstream("a", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a"})});
  ShareConfiguration();
  testing::RawClient entry(io_, relay_.port());
  entry.Write(EncodeRelayFrame(RelayAttemptRequest{
      .query = 5,
      .time_left_ms = 1'000,
      .mean_latency_us = 10'000,
      .attempts = {
          {.number = 1, .service = "a", .kind = AttemptKind::kRetry}}}));
  RunUntil([&] { return !entry.received().empty(); });
  std::string received = entry.received();
  const auto message = ExtractRelayFrame(received);
  ASSERT_TRUE(message.has_value() && message.value().has_value());
  const auto& results = std::get<RelayResults>(*message.value()).results;
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].end, AttemptEnd::kNotSent);
  EXPECT_TRUE(upstream.requests.empty());
}

// Plays the entry daemon, one frame at a time.
class RelayBatchTest : public RelaySessionTest {
 protected:
  void SetUp() override { ApplyRoutes({ScatterRoute({"a", "b"})}); }

  // Publishes the added upstreams to the relay and connects to it.
  void Connect() {
    ApplyDirectory();
    ShareConfiguration();
    entry_.emplace(io_, relay_.port());
  }

  void DelegateAttempts(std::vector<RelayAttempt> attempts,
                        milliseconds max_batch_delay = milliseconds(0)) {
    entry_->Write(EncodeRelayFrame(RelayAttemptRequest{
        .query = 5,
        .head = "GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\n",
        .request_id = "id-1",
        .time_left_ms = 5'000,
        .mean_latency_us = 10'000,
        .top_records = 2,
        .max_batch_delay_us = ToMicros(max_batch_delay),
        .attempts = std::move(attempts)}));
  }

  // Reads frames until `results` results in all have arrived.
  void AwaitResults(std::size_t results) {
    RunUntil([&] {
      received_ += entry_->received().substr(consumed_);
      consumed_ = entry_->received().size();
      for (;;) {
        auto message = ExtractRelayFrame(received_);
        EXPECT_TRUE(message.has_value());
        if (!message || !message.value()) break;
        auto& batch = std::get<RelayResults>(*message.value());
        records_ += batch.records;
        std::move(batch.results.begin(), batch.results.end(),
                  std::back_inserter(results_));
      }
      return results_.size() >= results;
    });
  }

  std::optional<testing::RawClient> entry_;
  std::string received_;
  std::size_t consumed_ = 0;
  std::vector<RelayResult> results_;
  std::string records_;
};

TEST_F(RelayBatchTest, Parts_InOneBatch_AreMergedToTopRecords) {
  AddUpstream("a", RepliesWith(MakeRecord('k') + MakeRecord('x')));
  AddUpstream("b", RepliesWith(MakeRecord('z') + MakeRecord('c')));
  Connect();
  DelegateAttempts(
      {{.number = 1, .service = "a"}, {.number = 2, .service = "b"}},
      milliseconds(40));
  AwaitResults(2);
  EXPECT_EQ(records_, MakeRecord('z') + MakeRecord('x'));
  for (const RelayResult& result : results_) {
    EXPECT_EQ(result.end, AttemptEnd::kAnswered);
    EXPECT_FALSE(result.signature.empty());
    EXPECT_TRUE(result.records.empty());
  }
}

// Guards against merging a second part of a shard: the entry daemon may
// delegate a hedge while the shard's part is still on its way. The batch then
// contained the second part's records although its signature was not accepted.
TEST_F(RelayBatchTest, Shard_AnsweredAlready_DeclinesHedge) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  auto& second_replica = AddUpstream("a", RepliesWith(MakeRecord('z')));
  AddUpstream("b", NeverReplies());
  Connect();
  DelegateAttempts({{.number = 1, .service = "a", .is_mandatory = true},
                    {.number = 2, .service = "b"}},
                   milliseconds(50));
  RunFor(milliseconds(20));
  const std::size_t before =
      upstreams_[0].requests.size() + second_replica.requests.size();
  ASSERT_EQ(before, 1U);
  DelegateAttempts({{.number = 3,
                     .service = "a",
                     .kind = AttemptKind::kHedge,
                     .is_mandatory = true}});
  AwaitResults(2);
  EXPECT_EQ(upstreams_[0].requests.size() + second_replica.requests.size(), 1U);
  EXPECT_EQ(records_.size(), kRecordBytes);
  const auto declined = std::find_if(
      results_.begin(), results_.end(),
      [](const RelayResult& result) { return result.number == 3; });
  ASSERT_NE(declined, results_.end());
  EXPECT_EQ(declined->end, AttemptEnd::kNotSent);
  EXPECT_EQ(declined->cause, kCauseAnsweredAlready);
}

TEST_F(RelayBatchTest, Part_Separate_ReturnsOwnRecords) {
  AddUpstream("a",
              RepliesWith(MakeRecord('k') + MakeRecord('x') + MakeRecord('b')));
  Connect();
  DelegateAttempts(
      {{.number = 1, .service = "a", .returns_own_records = true}});
  AwaitResults(1);
  EXPECT_TRUE(records_.empty());
  EXPECT_EQ(results_[0].records,
            MakeRecord('k') + MakeRecord('x') + MakeRecord('b'));
}

TEST_F(RelayBatchTest, Replica_OnlyInOtherDataCentre_GetsNoAttempt) {
  auto& remote = AddUpstream("a", RepliesWith(MakeRecord('k')));
  remote.record.data_centre = "elsewhere";
  Connect();
  DelegateAttempts({{.number = 1, .service = "a", .is_mandatory = true}});
  AwaitResults(1);
  EXPECT_EQ(results_[0].end, AttemptEnd::kNotSent);
  EXPECT_EQ(results_[0].cause, kCauseNoReplica);
  EXPECT_TRUE(remote.requests.empty());
}

// Guards against first attempts that go on to a replica which refuses many of
// them, while replicas elsewhere take theirs: the retries use up the budget.
TEST_F(RelayBatchTest, Replica_RefusesOften_DeclinesFirstAttempt) {
  auto& refusing =
      AddUpstream("a", [](const FakeRequest&, ConnectionArg connection) {
        connection->Reply({.status = 503, .headers = {{"X-Not-Run", "1"}}});
      });
  AddUpstream("a", NeverReplies()).record.data_centre = "elsewhere";
  Connect();
  std::uint64_t number = 0;
  constexpr std::size_t kRefusals = 4;
  for (std::size_t i = 1; i <= kRefusals; ++i) {
    DelegateAttempts({{.number = ++number, .service = "a"}});
    AwaitResults(i);
  }
  const auto declined = std::find_if(
      results_.begin(), results_.end(),
      [](const auto& result) { return result.cause == kCauseBetterElsewhere; });
  ASSERT_NE(declined, results_.end());
  EXPECT_EQ(declined->end, AttemptEnd::kNotSent);
  EXPECT_LT(refusing.requests.size(), kRefusals);
  // Nobody else is left to make this one.
  DelegateAttempts(
      {{.number = ++number, .service = "a", .is_mandatory = true}});
  AwaitResults(kRefusals + 1);
  EXPECT_EQ(results_.back().end, AttemptEnd::kRefused);
}

// Guards against a shard that is given up although its replicas refuse only a
// part of the requests.
TEST_F(RelayBatchTest, Replica_RefusedOnce_TakesRetry) {
  int requests = 0;
  AddUpstream("a", [&](const FakeRequest& request, ConnectionArg connection) {
    if (++requests == 1) {
      connection->Reply({.status = 503, .headers = {{"X-Not-Run", "1"}}});
      return;
    }
    connection->Reply(SignedReply(request, MakeRecord('k')));
  });
  Connect();
  DelegateAttempts({{.number = 1, .service = "a", .is_mandatory = true}});
  AwaitResults(1);
  EXPECT_EQ(results_[0].end, AttemptEnd::kRefused);
  DelegateAttempts({{.number = 2,
                     .service = "a",
                     .kind = AttemptKind::kRetry,
                     .is_mandatory = true}});
  AwaitResults(2);
  EXPECT_EQ(results_[1].end, AttemptEnd::kAnswered);
}

TEST_F(RelayBatchTest, Answer_OfAnotherRequest_IsNotAPart) {
  AddUpstream("a", [](const FakeRequest& request, ConnectionArg connection) {
    FakeReply reply = SignedReply(request, MakeRecord('k'));
    reply.headers = {{"X-Signature", "sig"}};  // Without the request ID.
    connection->Reply(reply);
  });
  Connect();
  DelegateAttempts({{.number = 1, .service = "a"}});
  AwaitResults(1);
  EXPECT_TRUE(results_[0].signature.empty());
  EXPECT_EQ(results_[0].cause, kCauseUnsigned);
  EXPECT_TRUE(records_.empty());
}

// Guards against telling a client that a query may have run when its request
// never left this daemon.
TEST_F(RelaySessionTest, Attempt_LinkLostBeforeSending_IsNotSent) {
  TimerQueue timers(io_);
  const auto link = std::make_shared<RelayLink>(RelayLink::Options{
      .io = &io_, .timers = &timers, .address = "127.0.0.1:1"});
  const auto attempt = std::make_shared<Attempt>();
  attempt->request = std::make_shared<OutboundRequest>();
  std::optional<AttemptEnd> end;
  attempt->on_done = [&](const AttemptResult& result) { end = result.end; };
  const std::uint64_t number = link->AddAttempt(attempt);
  link->SendRequest({.query = 1, .attempts = {{.number = number}}},
                    BootClock::now());
  EXPECT_FALSE(end);
  RunUntil([&] { return end.has_value(); });
  EXPECT_EQ(end, AttemptEnd::kNotSent);
  EXPECT_FALSE(attempt->sent);
}

// A fleet with enough connections for every daemon (RelayMode::kSpread). The
// entry daemon's data centre has no replicas; the relay's has one.
class SpreadRelayTest : public RelaySessionTest {
 protected:
  static constexpr std::int64_t kConnectionsForAll = 100;

  SpreadRelayTest() {
    for (const char* service : {"a", "b"}) {
      service_limits_[service].max_connections = kConnectionsForAll;
    }
  }

  // Starts a relay in data centre "there"; all upstreams added before are in
  // that data centre.
  void StartRelayElsewhere() {
    remote_core_.emplace(EdgeCore::Options{
        .io = &io_,
        .names = &names_,
        .metrics = &relay_metrics_,
        .started_at = BootClock::now() - std::chrono::minutes(1),
        .data_centre = "there",
        .extra_ratio = 0.2,
        .extra_attempts = 100});
    remote_relay_.emplace(
        RelayServer::Options{.core = &*remote_core_, .listen = "127.0.0.1:0"});
    ASSERT_TRUE(remote_relay_->Listen().has_value());
    for (auto& upstream : upstreams_) upstream.record.data_centre = "there";
    ApplyRoutes({Route()});
    remote_core_->ApplyRouting(core_.routes()->table);
    remote_core_->ApplyDirectory(
        std::make_shared<Directory>(*core_.directory()));
    const std::string address =
        "127.0.0.1:" + std::to_string(remote_relay_->port());
    core_.set_members({{"there", {{.address = address}}}}, "127.0.0.1:9999");
  }

  bool HasRelay() const {
    static const std::vector<std::string> data_centres{"there"};
    return core_.relay_table()
               .ChooseRelay({.replica_data_centres = data_centres},
                            BootClock::now())
               .relay != nullptr;
  }

  std::optional<EdgeCore> remote_core_;
  std::optional<RelayServer> remote_relay_;
};

TEST_F(SpreadRelayTest, Query_NoReplicaBeside_IsOneRequestToARelay) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  StartRelayElsewhere();
  RunUntil([&] { return HasRelay(); });
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.body, MakeRecord('z') + MakeRecord('k'));
  EXPECT_TRUE(HasMadeAttempts(relay_metrics_));
  EXPECT_FALSE(HasMadeAttempts(metrics_));
}

// Guards against a query that goes to and fro between relays that have one
// replica each: the relay uses every replica, and the retry goes to the relay
// that knows which one was tried.
TEST_F(SpreadRelayTest, Replica_Refuses_RelayRetriesAtTheOther) {
  AddUpstream("a", [](const FakeRequest& request, ConnectionArg connection) {
    FakeReply reply = SignedReply(request, "");
    reply.status = 503;
    connection->Reply(reply);
  });
  auto& second = AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  StartRelayElsewhere();
  second.record.data_centre = "elsewhere";
  ApplyDirectory();
  remote_core_->ApplyDirectory(std::make_shared<Directory>(*core_.directory()));
  RunUntil([&] { return HasRelay(); });
  for (int i = 0; i < 4; ++i) {
    const HttpReply reply = SendRequest("/s/1", "id-" + std::to_string(i));
    EXPECT_EQ(reply.header("X-Missing"), "0");
  }
  EXPECT_FALSE(HasMadeAttempts(metrics_));
}

TEST_F(SpreadRelayTest, Relay_NotConnected_EntryQueriesShards) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  StartRelayElsewhere();
  core_.set_members({{"there", {{.address = "127.0.0.1:1"}}}},
                    "127.0.0.1:9999");
  EXPECT_EQ(SendRequest("/s/1").header("X-Missing"), "0");
  EXPECT_TRUE(HasMadeAttempts(metrics_));
}

TEST_F(RelaySessionTest, Connection_NotARelayPeer_IsClosed) {
  testing::RawClient client(io_, relay_.port());
  client.Write("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n");
  RunUntil([&] { return client.closed(); });
}

// Guards against an entry daemon that passes on the answer of an upstream that
// leaves, and later sends to that upstream itself.
TEST_F(RelaySessionTest, Upstream_SaysItLeavesToRelay_EntryKnows) {
  auto& leaving =
      AddUpstream("a", [](const FakeRequest& request, ConnectionArg at) {
        FakeReply reply = SignedReply(request, MakeRecord('k'));
        reply.headers.emplace_back("X-Leaving", "1");
        at->Reply(reply);
      });
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({Route()});
  ShareConfiguration();
  UseRelay();
  while (leaving.requests.empty()) EXPECT_EQ(SendRequest("/s/1").status, 200);
  EXPECT_FALSE(HasMadeAttempts(metrics_));
  // The relay is lost: the entry daemon queries the shards itself.
  proxy_->set_fault(FaultProxy::Fault::kReset);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(SendRequest("/s/1", "id-" + std::to_string(i)).status, 200);
  }
  EXPECT_EQ(leaving.requests.size(), 1U);
}

}  // namespace
}  // namespace lacewingknot::edge
