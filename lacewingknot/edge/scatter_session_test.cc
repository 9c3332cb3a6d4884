// Tests queries over many shards, through the whole edge.

#include "lacewingknot/edge/scatter_session.h"

#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using testing::FakeConnection;
using testing::FakeReply;
using testing::FakeRequest;

using ConnectionRef = const std::shared_ptr<FakeConnection>&;

class ScatterSessionTest : public testing::EdgeFixture {};

TEST_F(ScatterSessionTest, Shards_AllAnswer_TopRecordsAreMerged) {
  AddUpstream("a", RepliesWith(MakeRecord('k') + MakeRecord('b')));
  AddUpstream("b", RepliesWith(MakeRecord('z') + MakeRecord('c')));
  ApplyRoutes({ScatterRoute({"a", "b"})});
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, MakeRecord('z') + MakeRecord('k') + MakeRecord('c'));
  EXPECT_EQ(reply.header("X-Parts"), "sig-k123, sig-z123");
  EXPECT_EQ(reply.header("X-Missing"), "0");
}

TEST_F(ScatterSessionTest, Shard_NeverAnswers_AnswerIsPartialAndCountsIt) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", NeverReplies());
  ApplyRoutes({ScatterRoute({"a", "b"})});
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, MakeRecord('k'));
  EXPECT_EQ(reply.header("X-Parts"), "sig-k123");
  EXPECT_EQ(reply.header("X-Missing"), "1");
}

TEST_F(ScatterSessionTest, Shard_WithoutUpstream_IsNotWaitedFor) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  RouteSpec route = ScatterRoute({"a", "b"});
  route.target_latency = std::chrono::seconds(60);
  ApplyRoutes({route});
  EXPECT_EQ(SendRequest("/s/1").header("X-Missing"), "1");
}

TEST_F(ScatterSessionTest, Query_MinCoverageUnreachable_IsRefusedAsNotRun) {
  auto& upstream = AddUpstream("a", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a", "b", "c"})});
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.status, kStatusUnavailable);
  EXPECT_NE(reply.header("Retry-After"), "");
  EXPECT_EQ(upstream.requests.size(), 0U);
}

TEST_F(ScatterSessionTest,
       Replica_NeverAnswers_OtherIsQueriedAndAnswerIsComplete) {
  AddUpstream("a", NeverReplies());
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  RouteSpec route = ScatterRoute({"a"});
  ApplyRoutes({route});
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(
        SendRequest("/s/1", "id-" + std::to_string(i)).header("X-Missing"),
        "0");
  }
}

TEST_F(ScatterSessionTest, Failure_Signed_IsNotAPart) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", [](const FakeRequest& request, ConnectionRef connection) {
    FakeReply reply = SignedReply(request, MakeRecord('z'));
    reply.status = 500;
    connection->Reply(reply);
  });
  ApplyRoutes({ScatterRoute({"a", "b"})});
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.body, MakeRecord('k'));
  EXPECT_EQ(reply.header("X-Missing"), "1");
}

// Guards against merging a part of an answer whose head broke off.
TEST_F(ScatterSessionTest, Part_BrokenOffAnywhere_IsNotMerged) {
  const std::string record = MakeRecord('z');
  const std::string whole =
      "HTTP/1.1 200 OK\r\nX-Signature: sig-z\r\nX-Id: id-1\r\n"
      "Content-Length: 16\r\n\r\n" +
      record;
  for (std::size_t sent = 0; sent < whole.size(); ++sent) {
    upstreams_.clear();
    AddUpstream("a", RepliesWith(MakeRecord('a')));
    AddUpstream("b", [&](const FakeRequest&,
                         const std::shared_ptr<testing::FakeConnection>& at) {
      at->ReplyRaw(whole.substr(0, sent), true);
    });
    ApplyRoutes({ScatterRoute({"a", "b"})});
    const HttpReply reply = SendRequest("/s/1");
    EXPECT_EQ(reply.status, kStatusOk);
    EXPECT_EQ(reply.header("X-Missing"), "1") << whole.substr(0, sent);
    EXPECT_EQ(reply.body, MakeRecord('a'));
  }
}

TEST_F(ScatterSessionTest, Part_OfAnotherRequest_IsNotMerged) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", [](const FakeRequest&, ConnectionRef connection) {
    connection->Reply({.headers = {{"X-Id", "other"}, {"X-Signature", "bad"}},
                       .body = MakeRecord('z')});
  });
  ApplyRoutes({ScatterRoute({"a", "b"})});
  EXPECT_EQ(SendRequest("/s/1").header("X-Parts"), "sig-k123");
}

TEST_F(ScatterSessionTest, Shard_AllReplicasRefuse_AttemptsAreBounded) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  std::vector<ScriptedUpstream*> refusing;
  refusing.reserve(8);
  for (int i = 0; i < 8; ++i) {
    refusing.push_back(
        &AddUpstream("b", [](const FakeRequest&, ConnectionRef connection) {
          connection->Reply({.status = 503, .headers = {{"X-Not-Run", "1"}}});
        }));
  }
  ApplyRoutes({ScatterRoute({"a", "b"})});
  EXPECT_EQ(SendRequest("/s/1").header("X-Missing"), "1");
  std::size_t attempts = 0;
  for (const auto* upstream : refusing) attempts += upstream->requests.size();
  EXPECT_LE(attempts, 4U);
}

TEST_F(ScatterSessionTest, ExtraAttempts_ManySlowQueries_StayWithinBudget) {
  auto& slow = AddUpstream("a", NeverReplies());
  auto& other = AddUpstream("a", NeverReplies());
  RouteSpec route = ScatterRoute({"a"});
  route.timeout = milliseconds(200);
  route.target_latency = milliseconds(60);
  service_limits_["a"].max_connections = 400;
  ApplyRoutes({route});
  // Admission refuses some queries once many have failed; these make no
  // attempts.
  constexpr int kQueries = 30;
  int failed = 0;
  for (int i = 0; failed < kQueries; ++i) {
    ASSERT_LT(i, 6 * kQueries);
    const int status = SendRequest("/s/1", "id-" + std::to_string(i)).status;
    if (status == kStatusUnavailable) continue;
    EXPECT_EQ(status, kStatusGatewayTimeout);
    ++failed;
  }
  // The extra-load budget: a fifth of the first attempts, plus this daemon's
  // share of the base allowance of 100.
  EXPECT_LE(slow.requests.size() + other.requests.size(),
            kQueries + kQueries / 5 + 100 / 8);
}

TEST_F(ScatterSessionTest, Routes_ChangeMeanwhile_AnswerIsOfOneVersion) {
  std::shared_ptr<FakeConnection> held_connection;
  FakeRequest held_request;
  AddUpstream("a", [&](FakeRequest request, ConnectionRef connection) {
    held_request = std::move(request);
    held_connection = connection;
  });
  AddUpstream("b", RepliesWith(MakeRecord('b')));
  AddUpstream("c", RepliesWith(MakeRecord('c')));
  RouteSpec route = ScatterRoute({"a", "b"});
  route.target_latency = milliseconds(1'500);
  ApplyRoutes({route});
  std::string body;
  testing::RawClient client(io_, server_.port());
  client.Write("GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: q\r\n\r\n");
  RunUntil([&] { return held_connection != nullptr; });
  ApplyRoutes({ScatterRoute({"c"})});
  held_connection->Reply(SignedReply(held_request, MakeRecord('a')));
  RunUntil([&] { return !client.received().empty(); });
  EXPECT_NE(client.received().find("X-Parts: sig-a123, sig-b123"),
            std::string::npos);
}

// First attempts, hedges and retries all keep to what an upstream says.
TEST_F(ScatterSessionTest, Replicas_LeaveOrWait_GetNoAttemptOfAnyKind) {
  const auto says = [](std::string name, std::string value) {
    return [name = std::move(name), value = std::move(value)](
               const FakeRequest&,
               const std::shared_ptr<testing::FakeConnection>& at) {
      at->Reply(
          {.status = 503, .headers = {{"X-Not-Run", "1"}, {name, value}}});
    };
  };
  auto& leaving = AddUpstream("a", says("X-Leaving", "1"));
  auto& waiting = AddUpstream("b", says("Retry-After", "30"));
  AddUpstream("c", RepliesWith(MakeRecord('c')));
  AddUpstream("d", RepliesWith(MakeRecord('d')));
  ApplyRoutes({ScatterRoute({"a", "b", "c", "d"})});
  for (int i = 0; i < 30; ++i) {
    const HttpReply reply = SendRequest("/s/1", "id-" + std::to_string(i));
    EXPECT_EQ(reply.status, kStatusOk);
    EXPECT_EQ(reply.header("X-Missing"), "2");
  }
  EXPECT_EQ(leaving.requests.size(), 1U);
  EXPECT_EQ(waiting.requests.size(), 1U);
}

// Guards against queries that are sent to the other shards in vain, and then
// fail as if they had run.
TEST_F(ScatterSessionTest, Coverage_WithheldTooLong_QueryIsRefusedAtOnce) {
  const auto waits = [](const FakeRequest&, ConnectionRef at) {
    at->Reply(
        {.status = 503, .headers = {{"X-Not-Run", "1"}, {"Retry-After", "5"}}});
  };
  AddUpstream("a", waits);
  AddUpstream("b", waits);
  auto& good = AddUpstream("c", RepliesWith(MakeRecord('c')));
  ApplyRoutes({ScatterRoute({"a", "b", "c"})});
  SendRequest("/s/1", "learns");
  const std::size_t before = good.requests.size();
  for (int i = 0; i < 3; ++i) {
    const HttpReply reply = SendRequest("/s/1", "id-" + std::to_string(i));
    EXPECT_EQ(reply.status, kStatusUnavailable);
    EXPECT_GT(std::stod(std::string(reply.header("Retry-After"))), 4);
  }
  EXPECT_EQ(good.requests.size(), before);
}

TEST_F(ScatterSessionTest, Coverage_WithheldBriefly_QueryStartsWhenItOpens) {
  bool refuses = true;
  AddUpstream("a", [&](const FakeRequest& request, ConnectionRef at) {
    if (std::exchange(refuses, false)) {
      at->Reply({.status = 503,
                 .headers = {{"X-Not-Run", "1"}, {"Retry-After", "0.15"}}});
      return;
    }
    at->Reply(SignedReply(request, MakeRecord('k')));
  });
  ApplyRoutes({ScatterRoute({"a"})});
  SendRequest("/s/1", "learns");
  EXPECT_EQ(SendRequest("/s/1", "waits").status, 200);
}

// A shard at its stated rate gets its turn while the query waits for others
// anyway.
TEST_F(ScatterSessionTest, Shard_AtItsStatedRate_WaitsForItsTurnInTime) {
  // 200 * 1.1 / 8 = 27 a second here, one in 36 ms.
  AddUpstream("a", [](const FakeRequest& request, ConnectionRef at) {
    FakeReply reply = SignedReply(request, MakeRecord('k'));
    reply.headers.emplace_back("X-Rate", "200");
    at->Reply(reply);
  });
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  ApplyRoutes({ScatterRoute({"a", "b"})});
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(
        SendRequest("/s/1", "id-" + std::to_string(i)).header("X-Missing"),
        "0");
  }
}

}  // namespace
}  // namespace lacewingknot::edge
