// Tests requests with API keys of teams, through the whole edge.

#include <array>
#include <boost/asio/write.hpp>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/explanation.h"
#include "lacewingknot/edge/request_session.h"
#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using testing::FakeConnection;
using testing::FakeRequest;
using testing::RawClient;

using ConnectionRef = const std::shared_ptr<FakeConnection>&;

constexpr std::string_view kSearchKey = "k-search-4711";
constexpr std::string_view kBatchKey = "k-batch-0815";

class TeamKeysTest : public testing::EdgeFixture {
 protected:
  void SetUp() override {
    ConfigureLogging(LogLevel::kInfo, "vm");
    SetKeys({std::string(kSearchKey)});
  }

  // Gives the team "search" `keys`; the team "batch" keeps its own.
  void SetKeys(const std::vector<std::string>& keys) {
    TeamTable::Entry search{.team = {.name = "search", .priority = 0}};
    for (const std::string& key : keys) {
      search.keys.push_back(DigestOfKey(key));
    }
    teams_ = {std::move(search),
              {.team = {.name = "batch", .priority = 5},
               .keys = {DigestOfKey(kBatchKey)}}};
  }

  // Withdraws the key of the team "search" from the configuration in force.
  void WithdrawSearchKey() {
    SetKeys({});
    ApplyRoutes(routes_);
  }

  void Publish(std::vector<RouteSpec> routes) {
    routes_ = std::move(routes);
    ApplyRoutes(routes_);
  }

  static std::string Bearer(std::string_view key) {
    return "Authorization: Bearer " + std::string(key) + "\r\n";
  }

  static std::string Text(const std::string& target, const std::string& headers,
                          const std::string& id = "id-1") {
    return "GET " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Id: " + id +
           "\r\n" + headers + "\r\n";
  }

  // Returns the bytes of the answer to a request on a new connection.
  std::string Ask(const std::string& target, const std::string& headers,
                  const std::string& id = "id-1") {
    RawClient client(io_, server_.port());
    client.Write(Text(target, headers, id));
    AwaitAnswers(client, 1);
    return client.received();
  }

  void AwaitAnswers(const RawClient& client, std::size_t count) {
    RunUntil([&] { return AnswerCount(client) >= count; });
  }

  static std::size_t AnswerCount(const RawClient& client) {
    constexpr std::string_view kStart = "HTTP/1.1 ";
    std::size_t count = 0;
    for (std::size_t at = client.received().find(kStart);
         at != std::string::npos; at = client.received().find(kStart, at + 1)) {
      ++count;
    }
    return count;
  }

  // Returns the status of the last answer in `received`.
  static std::string LastStatus(const std::string& received) {
    constexpr std::string_view kStart = "HTTP/1.1 ";
    const auto at = received.rfind(kStart);
    return at == std::string::npos ? ""
                                   : received.substr(at + kStart.size(), 3);
  }

  // Checks that the upstreams got `count` requests, all with the name of `team`
  // and no key.
  void ExpectOnlyTeam(std::size_t count, std::string_view team) {
    std::size_t seen = 0;
    for (const ScriptedUpstream& upstream : upstreams_) {
      for (const FakeRequest& request : upstream.requests) {
        ++seen;
        EXPECT_EQ(request.headers.count("X-Team"), team.empty() ? 0U : 1U);
        EXPECT_EQ(request.header("X-Team"), team);
        EXPECT_EQ(request.headers.count("Authorization"), 0U);
      }
    }
    EXPECT_EQ(seen, count);
  }

  std::vector<RouteSpec> routes_;
};

TEST_F(TeamKeysTest, Key_Valid_UpstreamGetsTeamInsteadOfKey) {
  AddUpstream("s", RepliesWith("x"));
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  for (const std::string scheme : {"Bearer ", "bearer ", "BEARER   "}) {
    EXPECT_EQ(LastStatus(Ask("/p/1", "Authorization: " + scheme +
                                         std::string(kSearchKey) + "\r\n")),
              "200");
  }
  ExpectOnlyTeam(3, "search");
}

// Guards against upstreams that trust a name which a client chose.
TEST_F(TeamKeysTest, TeamHeader_SentByClient_IsDropped) {
  AddUpstream("s", RepliesWith("x"));
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  for (const std::string forged :
       {"X-Team: batch\r\n", "x-team: batch\r\nX-TEAM: search\r\n",
        "Connection: X-Team\r\nX-Team: batch\r\n"}) {
    EXPECT_EQ(LastStatus(Ask("/p/1", forged + Bearer(kSearchKey))), "200");
  }
  ExpectOnlyTeam(3, "search");
}

TEST_F(TeamKeysTest, Key_MissingMalformedOrUnknown_IsAnswered401BeforeAnyWork) {
  AddUpstream("s", RepliesWith("x"));
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  const std::string key(kSearchKey);
  const std::string cases[] = {
      "",
      "X-Team: search\r\n",
      "Authorization: \r\n",
      "Authorization: Bearer\r\n",
      "Authorization: Bearer   \r\n",
      "Authorization: " + key + "\r\n",
      "Authorization: Basic " + key + "\r\n",
      "Authorization: Bearer" + key + "\r\n",
      "Authorization: Bearer " + key + " x\r\n",
      "Authorization: Bearer " + key + "x\r\n",
      "Authorization: Bearer " + key.substr(1) + "\r\n",
      Bearer("unknown"),
      Bearer(key) + Bearer(key),
      Bearer("unknown") + Bearer(key),
      "Proxy-Authorization: Bearer " + key + "\r\n",
  };
  for (const std::string& headers : cases) {
    const std::string answer = Ask("/p/1", headers);
    EXPECT_EQ(LastStatus(answer), "401") << headers;
    EXPECT_NE(answer.find("WWW-Authenticate: Bearer\r\n"), std::string::npos);
    EXPECT_EQ(answer.find(key), std::string::npos);
  }
  ExpectOnlyTeam(0, "");
}

TEST_F(TeamKeysTest, Key_UnknownAndNoRoute_IsNotFound) {
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  EXPECT_EQ(LastStatus(Ask("/elsewhere/", "")), "404");
}

TEST_F(TeamKeysTest, Request_Unauthorized_ConnectionServesNextOne) {
  AddUpstream("s", RepliesWith("x"));
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  RawClient client(io_, server_.port());
  client.Write(Text("/p/1", Bearer("unknown")));
  AwaitAnswers(client, 1);
  client.Write(Text("/p/1", Bearer(kSearchKey)));
  AwaitAnswers(client, 2);
  EXPECT_EQ(LastStatus(client.received()), "200");
}

// Guards against keys and forged names on routes that need no key.
TEST_F(TeamKeysTest, Route_Public_NeedsNoKeyAndForwardsNone) {
  AddUpstream("s", RepliesWith("x"));
  RouteSpec route = PassRoute("s", RetryPolicy::kAtMostOnce);
  route.is_public = true;
  Publish({route});
  for (const std::string& headers :
       {std::string(), Bearer("unknown"), Bearer(kSearchKey),
        std::string("X-Team: search\r\n")}) {
    EXPECT_EQ(LastStatus(Ask("/p/1", headers)), "200") << headers;
  }
  ExpectOnlyTeam(4, "");
}

// Guards against changes on the wire for deployments without teams.
TEST_F(TeamKeysTest, Configuration_WithoutTeams_HeadersAreForwardedUnchanged) {
  boost::asio::ip::tcp::acceptor acceptor(
      io_, {boost::asio::ip::address_v4::loopback(), 0});
  boost::asio::ip::tcp::socket at_upstream(io_);
  acceptor.async_accept(at_upstream, [](boost::system::error_code) {});
  AddUpstream("s", RepliesWith("x")).record.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  teams_.clear();
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  // Returns the bytes that the upstream gets for a request with `headers`.
  const auto forwarded = [&](const std::string& headers) {
    RawClient client(io_, server_.port());
    client.Write(Text("/p/1", headers));
    std::string bytes;
    RunUntil([&] {
      boost::system::error_code none_yet;
      std::array<char, 4096> chunk{};
      if (at_upstream.is_open() && at_upstream.available(none_yet) > 0) {
        bytes.append(chunk.data(), at_upstream.read_some(
                                       boost::asio::buffer(chunk), none_yet));
      }
      return bytes.ends_with("\r\n\r\n");
    });
    boost::asio::write(at_upstream,
                       boost::asio::buffer(std::string_view(
                           "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n"
                           "X-Signature: s\r\nContent-Length: 0\r\n\r\n")));
    AwaitAnswers(client, 1);
    EXPECT_EQ(LastStatus(client.received()), "200");
    return bytes;
  };
  const std::string sent =
      "X-First: 1\r\nauthorization: Bearer  a b\r\nX-team: mine\r\n"
      "X-Second: 2\r\nAuthorization: Basic eA==\r\nX-Third: 3\r\n"
      "X-Team: \r\n";
  const std::string start =
      "GET /p/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\n";
  const std::string all = forwarded(sent);
  EXPECT_TRUE(all.starts_with(start + sent + "X-Left: ")) << all;
  // Headers that the client lists as those of its connection are dropped.
  const std::string listed =
      forwarded("Connection: X-First, X-Team, keep-alive\r\n" + sent);
  EXPECT_TRUE(listed.starts_with(start +
                                 "authorization: Bearer  a b\r\n"
                                 "X-Second: 2\r\nAuthorization: Basic eA==\r\n"
                                 "X-Third: 3\r\nX-Left: "))
      << listed;
}

TEST_F(TeamKeysTest, Configuration_NotThereYet_IsUnavailableNotUnauthorized) {
  EXPECT_EQ(LastStatus(Ask("/p/1", "")), "503");
}

// Guards against queueing by the route's priority: the only connection is busy
// while requests of two teams arrive.
TEST_F(TeamKeysTest, Teams_OfTwoPriorities_UrgentOneIsSentFirst) {
  std::vector<std::pair<std::string, std::shared_ptr<FakeConnection>>> held;
  auto& upstream =
      AddUpstream("s", [&](const FakeRequest& request, ConnectionRef at) {
        held.emplace_back(request.header("X-Id"), at);
      });
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  RawClient first(io_, server_.port());
  RawClient batch(io_, server_.port());
  RawClient search(io_, server_.port());
  first.Write(Text("/p/1", Bearer(kBatchKey), "first"));
  RunUntil([&] { return held.size() == 1; });
  batch.Write(Text("/p/1", Bearer(kBatchKey), "batch"));
  RunFor(milliseconds(30));
  search.Write(Text("/p/1", Bearer(kSearchKey), "search"));
  RunFor(milliseconds(30));
  ASSERT_EQ(held.size(), 1U);
  held[0].second->Reply(SignedReply(upstream.requests[0], "x"));
  RunUntil([&] { return held.size() == 2; });
  EXPECT_EQ(held[1].first, "search");
}

TEST_F(TeamKeysTest, Attempt_Retried_CarriesTeamAndNoKey) {
  bool fails = true;
  const auto fail_first = [&](const FakeRequest& request, ConnectionRef at) {
    if (std::exchange(fails, false)) {
      at->Close();
    } else {
      at->Reply(SignedReply(request, "x"));
    }
  };
  AddUpstream("s", fail_first);
  AddUpstream("s", fail_first);
  Publish({PassRoute("s", RetryPolicy::kIdempotent)});
  EXPECT_EQ(LastStatus(Ask("/p/1", Bearer(kSearchKey))), "200");
  ExpectOnlyTeam(2, "search");
}

TEST_F(TeamKeysTest, Attempt_Hedged_CarriesTeamAndNoKey) {
  bool is_slow = true;
  const auto slow_first = [&](const FakeRequest& request, ConnectionRef at) {
    if (!std::exchange(is_slow, false)) {
      at->Reply(SignedReply(request, MakeRecord('a')));
    }
  };
  AddUpstream("a", slow_first);
  AddUpstream("a", slow_first);
  Publish({ScatterRoute({"a"})});
  EXPECT_EQ(LastStatus(Ask("/s/1", Bearer(kSearchKey))), "200");
  ExpectOnlyTeam(2, "search");
}

// Guards against connections that keep the rights of the key that opened them.
TEST_F(TeamKeysTest, Key_WithdrawnOnOpenConnection_NextRequestIs401) {
  AddUpstream("s", RepliesWith("x"));
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  RawClient client(io_, server_.port());
  client.Write(Text("/p/1", Bearer(kSearchKey)));
  AwaitAnswers(client, 1);
  EXPECT_EQ(LastStatus(client.received()), "200");
  WithdrawSearchKey();
  client.Write(Text("/p/1", Bearer(kSearchKey)));
  AwaitAnswers(client, 2);
  EXPECT_EQ(LastStatus(client.received()), "401");
  ExpectOnlyTeam(1, "search");
  EXPECT_EQ(LastStatus(Ask("/p/1", Bearer(kBatchKey))), "200");
}

// Guards against a run under a withdrawn key: the request waits until its
// upstream takes requests again.
TEST_F(TeamKeysTest, Key_WithdrawnWhileRequestWaits_IsAnswered401AndNotRun) {
  bool refuses = true;
  auto& upstream =
      AddUpstream("s", [&](const FakeRequest& request, ConnectionRef at) {
        if (std::exchange(refuses, false)) {
          at->Reply({.status = 503,
                     .headers = {{"X-Not-Run", "1"}, {"Retry-After", "0.5"}}});
          return;
        }
        at->Reply(SignedReply(request, "x"));
      });
  RouteSpec route = PassRoute("s", RetryPolicy::kAtMostOnce);
  // Later requests wait only if they can be answered within it.
  route.target_latency = milliseconds(1'900);
  Publish({route});
  RawClient refused(io_, server_.port());
  refused.Write(Text("/p/1", Bearer(kSearchKey), "refused"));
  RunUntil([&] { return upstream.requests.size() == 1; });
  RunFor(milliseconds(50));
  RawClient waiting(io_, server_.port());
  waiting.Write(Text("/p/1", Bearer(kSearchKey), "waiting"));
  RawClient other(io_, server_.port());
  other.Write(Text("/p/1", Bearer(kBatchKey), "other"));
  RunFor(milliseconds(50));
  EXPECT_EQ(AnswerCount(refused) + AnswerCount(waiting) + AnswerCount(other),
            0U);
  WithdrawSearchKey();
  AwaitAnswers(refused, 1);
  AwaitAnswers(waiting, 1);
  EXPECT_EQ(LastStatus(refused.received()), "401");
  EXPECT_EQ(LastStatus(waiting.received()), "401");
  AwaitAnswers(other, 1);
  EXPECT_EQ(LastStatus(other.received()), "200");
  EXPECT_EQ(upstream.requests.size(), 2U);
  EXPECT_EQ(upstream.requests.back().header("X-Id"), "other");
}

// The same while the request waits for the only connection of its upstream. The
// request that runs there is answered.
TEST_F(TeamKeysTest, Key_WithdrawnWhileConnectionIsBusy_OnlySentRequestRuns) {
  std::vector<std::shared_ptr<FakeConnection>> held;
  auto& upstream =
      AddUpstream("s", [&](const FakeRequest& /*request*/, ConnectionRef at) {
        held.push_back(at);
      });
  Publish({PassRoute("s", RetryPolicy::kIdempotent)});
  RawClient sent(io_, server_.port());
  sent.Write(Text("/p/1", Bearer(kSearchKey), "sent"));
  RunUntil([&] { return held.size() == 1; });
  RawClient queued(io_, server_.port());
  queued.Write(Text("/p/1", Bearer(kSearchKey), "queued"));
  RunFor(milliseconds(50));
  WithdrawSearchKey();
  AwaitAnswers(queued, 1);
  EXPECT_EQ(LastStatus(queued.received()), "401");
  EXPECT_EQ(AnswerCount(sent), 0U);
  held[0]->Reply(SignedReply(upstream.requests[0], "x"));
  AwaitAnswers(sent, 1);
  EXPECT_EQ(LastStatus(sent.received()), "200");
  RunFor(milliseconds(50));
  ExpectOnlyTeam(1, "search");
}

TEST_F(TeamKeysTest, Key_WithdrawnBeforeRetry_RequestIsNotSentAgain) {
  std::vector<std::shared_ptr<FakeConnection>> held;
  const auto hold = [&](const FakeRequest& /*request*/, ConnectionRef at) {
    held.push_back(at);
  };
  AddUpstream("s", hold);
  AddUpstream("s", hold);
  Publish({PassRoute("s", RetryPolicy::kIdempotent)});
  RawClient client(io_, server_.port());
  client.Write(Text("/p/1", Bearer(kSearchKey)));
  RunUntil([&] { return held.size() == 1; });
  WithdrawSearchKey();
  held[0]->Close();
  AwaitAnswers(client, 1);
  EXPECT_EQ(LastStatus(client.received()), "502");
  ExpectOnlyTeam(1, "search");
}

TEST_F(TeamKeysTest, Key_WithdrawnBeforeHedge_QueryIsNotSentAgain) {
  AddUpstream("a", NeverReplies());
  AddUpstream("a", NeverReplies());
  Publish({ScatterRoute({"a"})});
  RawClient client(io_, server_.port());
  client.Write(Text("/s/1", Bearer(kSearchKey)));
  RunUntil([&] {
    return upstreams_[0].requests.size() + upstreams_[1].requests.size() == 1;
  });
  WithdrawSearchKey();
  RunFor(milliseconds(400));
  ExpectOnlyTeam(1, "search");
}

TEST_F(TeamKeysTest, Key_WithdrawnWhileQueryWaits_IsAnswered401AndNotRun) {
  auto& upstream =
      AddUpstream("a", [&](const FakeRequest& /*request*/, ConnectionRef at) {
        at->Reply({.status = 503,
                   .headers = {{"X-Not-Run", "1"}, {"Retry-After", "0.2"}}});
      });
  Publish({ScatterRoute({"a"})});
  Ask("/s/1", Bearer(kBatchKey), "learns");
  const std::size_t before = upstream.requests.size();
  RawClient client(io_, server_.port());
  client.Write(Text("/s/1", Bearer(kSearchKey)));
  RunFor(milliseconds(30));
  ASSERT_EQ(AnswerCount(client), 0U);
  WithdrawSearchKey();
  AwaitAnswers(client, 1);
  EXPECT_EQ(LastStatus(client.received()), "401");
  RunFor(milliseconds(300));
  EXPECT_EQ(upstream.requests.size(), before);
}

// Guards against a 401 for requests of a team that gets another key.
TEST_F(TeamKeysTest, Key_AddedToTeam_WaitingRequestsGoOn) {
  std::vector<std::shared_ptr<FakeConnection>> held;
  auto& upstream =
      AddUpstream("s", [&](const FakeRequest& /*request*/, ConnectionRef at) {
        held.push_back(at);
      });
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  RawClient client(io_, server_.port());
  client.Write(Text("/p/1", Bearer(kSearchKey)));
  RunUntil([&] { return held.size() == 1; });
  SetKeys({std::string(kSearchKey), "another"});
  ApplyRoutes(routes_);
  held[0]->Reply(SignedReply(upstream.requests[0], "x"));
  AwaitAnswers(client, 1);
  EXPECT_EQ(LastStatus(client.received()), "200");
  EXPECT_EQ(LastStatus(Ask("/nowhere/", Bearer("another"))), "404");
}

// Guards against keys in what operators and other programs can read.
TEST_F(TeamKeysTest, Key_AnyOutcome_IsInNoLogMetricOrExplanation) {
  ::testing::internal::CaptureStdout();
  AddUpstream("s", RepliesWith("x"));
  Publish({PassRoute("s", RetryPolicy::kAtMostOnce)});
  EXPECT_EQ(LastStatus(Ask("/p/1", Bearer(kSearchKey), "valid")), "200");
  EXPECT_EQ(LastStatus(Ask("/p/1", Bearer("k-unknown-99"), "wrong")), "401");
  EXPECT_EQ(LastStatus(Ask("/p/1", Bearer(kSearchKey) + Bearer(kSearchKey))),
            "401");
  WithdrawSearchKey();
  EXPECT_EQ(LastStatus(Ask("/p/1", Bearer(kSearchKey), "gone")), "401");
  FlushLog(std::chrono::seconds(5));
  const std::string log = ::testing::internal::GetCapturedStdout();
  EXPECT_NE(log.find("E1310 request_unauthorized"), std::string::npos);
  EXPECT_NE(log.find("E1311 teams_in_force"), std::string::npos);
  EXPECT_NE(log.find("E1312 team_keys_withdrawn"), std::string::npos);
  const std::string metrics = metrics_.Render();
  EXPECT_NE(
      metrics.find("unauthorized_requests_total{cause=\"key_unknown\"} 2"),
      std::string::npos);
  const auto explanation = ExplainService(core_, "s", BootClock::now());
  ASSERT_TRUE(explanation.has_value());
  for (const std::string& text : {log, metrics, ToJson(*explanation)}) {
    EXPECT_EQ(text.find(kSearchKey), std::string::npos);
    EXPECT_EQ(text.find("k-unknown-99"), std::string::npos);
    EXPECT_EQ(text.find("Bearer "), std::string::npos);
  }
}

}  // namespace
}  // namespace lacewingknot::edge
