// Tests explanations of requests against what the edge then does with them.

#include "lacewingknot/edge/request_explanation.h"

#include <algorithm>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/request_session.h"
#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

constexpr std::string_view kKey = "k-search-4711";

class RequestExplanationTest : public testing::EdgeFixture {
 protected:
  void SetUp() override { ConfigureLogging(LogLevel::kError, "vm"); }

  void AddTeam(double rate = 0, double burst = 0) {
    teams_ = {{.team = {.name = "search",
                        .priority = 1,
                        .rate_per_second = rate,
                        .burst = burst},
               .keys = {DigestOfKey(kKey)}}};
  }
  RequestExplanation Explain(const std::string& target,
                             std::string_view key = {},
                             const std::string& host = "h.example") {
    RequestToExplain request{.host = host, .target = target};
    if (!key.empty()) {
      request.credentials.push_back("Bearer " + std::string(key));
    }
    return ExplainRequest(core_, request, BootClock::now());
  }
  // Returns the bytes of the answer to a request with the team's key.
  std::string Send(const std::string& target) {
    testing::RawClient client(io_, server_.port());
    client.Write("GET " + target +
                 " HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\n"
                 "Authorization: Bearer " +
                 std::string(kKey) + "\r\n\r\n");
    RunUntil([&] { return client.received().starts_with("HTTP/1.1"); });
    return client.received();
  }
  std::size_t RequestsAtUpstreams() const {
    std::size_t requests = 0;
    for (const auto& upstream : upstreams_) {
      requests += upstream.requests.size();
    }
    return requests;
  }
};

TEST_F(RequestExplanationTest, NoConfiguration_Explained_IsRefusedWith503) {
  const RequestExplanation explanation = Explain("/p/1");
  EXPECT_EQ(explanation.verdict.status, kStatusUnavailable);
  EXPECT_EQ(explanation.verdict.cause, "no_configuration_yet");
  EXPECT_EQ(explanation.verdict.retry_after_ms, 400);
  EXPECT_FALSE(explanation.configuration.has_value());
}

TEST_F(RequestExplanationTest, Route_Unknown_IsRefusedWith404) {
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  for (const auto& [host, target] :
       {std::pair("other.example", "/p/1"), std::pair("h.example", "/q/1")}) {
    const RequestExplanation explanation = Explain(target, {}, host);
    EXPECT_EQ(explanation.verdict.status, kStatusNotFound);
    EXPECT_EQ(explanation.verdict.cause, "no_route");
    EXPECT_FALSE(explanation.route.has_value());
  }
}

// Guards against an explanation that tells more than the client's 401, or that
// holds the key.
TEST_F(RequestExplanationTest, Key_Invalid_IsRefusedWith401AndNotShown) {
  AddUpstream("a", RepliesWith("x"));
  AddTeam();
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  EXPECT_EQ(Explain("/p/1").verdict.cause, "key_missing");
  const RequestExplanation explanation = Explain("/p/1", "k-wrong-1234");
  EXPECT_EQ(explanation.verdict.status, kStatusUnauthorized);
  EXPECT_EQ(explanation.verdict.cause, "key_unknown");
  EXPECT_FALSE(explanation.team.has_value());
  EXPECT_TRUE(explanation.placements.empty());
  EXPECT_EQ(ToJson(explanation).find("k-wrong"), std::string::npos);
  EXPECT_EQ(ToJson(Explain("/p/1", kKey)).find(kKey), std::string::npos);
}

TEST_F(RequestExplanationTest, SingleRequest_Served_ShowsTeamAndReplicas) {
  AddUpstream("a", RepliesWith("x"));
  AddUpstream("a", RepliesWith("x")).record.draining = true;
  AddTeam();
  ApplyRoutes({PassRoute("a", RetryPolicy::kAtMostOnce)});
  const RequestExplanation explanation = Explain("/p/1", kKey);
  EXPECT_EQ(explanation.verdict.outcome, "sent");
  EXPECT_EQ(explanation.configuration->version,
            core_.routes()->table->version());
  EXPECT_EQ(explanation.route->name, "pass");
  EXPECT_EQ(explanation.team->name, "search");
  ASSERT_EQ(explanation.placements.size(), 1U);
  const PlacementExplanation& placement = explanation.placements.front();
  EXPECT_EQ(placement.placement, "direct");
  EXPECT_EQ(placement.chosen, "up-1");
  EXPECT_EQ(placement.usable_replicas, 1U);
  ASSERT_EQ(placement.replicas.size(), 2U);
  for (const ReplicaExplanation& replica : placement.replicas) {
    const bool is_chosen = replica.upstream.id == "up-1";
    EXPECT_EQ(replica.is_chosen, is_chosen);
    EXPECT_EQ(replica.passed_over, is_chosen ? "" : "draining");
  }
}

TEST_F(RequestExplanationTest, Service_WithoutReplica_IsRefusedAsTheRequestIs) {
  AddTeam();
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  const RequestExplanation explanation = Explain("/p/1", kKey);
  EXPECT_EQ(explanation.verdict.status, kStatusUnavailable);
  EXPECT_EQ(explanation.verdict.cause, "no_replica");
  EXPECT_EQ(explanation.verdict.retry_after_ms, 250);
  EXPECT_NE(Send("/p/1").find("503 Service Unavailable\r\nRetry-After: 0.250"),
            std::string::npos);
}

TEST_F(RequestExplanationTest, Shard_WithoutReplica_IsShownFirst) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('l')));
  ApplyRoutes({ScatterRoute({"a", "b", "c"})});
  const RequestExplanation explanation = Explain("/s/1");
  EXPECT_EQ(explanation.verdict.outcome, "sent");
  EXPECT_EQ(explanation.shards->direct, 2U);
  EXPECT_EQ(explanation.shards->none, 1U);
  ASSERT_EQ(explanation.placements.size(), 3U);
  EXPECT_EQ(explanation.placements.front().service, "c");
  EXPECT_EQ(explanation.placements.front().cause, "no_replica");
}

TEST_F(RequestExplanationTest, Coverage_Unreachable_IsRefusedAsTheQueryIs) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddTeam();
  ApplyRoutes({ScatterRoute({"a", "b", "c"})});
  const RequestExplanation explanation = Explain("/s/1", kKey);
  EXPECT_EQ(explanation.verdict.status, kStatusUnavailable);
  EXPECT_EQ(explanation.verdict.cause, "too_few_shards");
  EXPECT_EQ(explanation.verdict.retry_after_ms, 300);
  EXPECT_NE(Send("/s/1").find("503 Service Unavailable\r\nRetry-After: 0.300"),
            std::string::npos);
}

// Guards against a wait, or a Retry-After, other than those of the request.
TEST_F(RequestExplanationTest, Upstream_StatesWait_WaitsOrIsRefused) {
  AddUpstream("a", [](const testing::FakeRequest&,
                      const std::shared_ptr<testing::FakeConnection>& at) {
    at->Reply({.status = 503,
               .headers = {{"X-Not-Run", "1"}, {"Retry-After", "0.3"}}});
  });
  AddTeam();
  RouteSpec route = PassRoute("a", RetryPolicy::kIdempotent);
  route.timeout = std::chrono::milliseconds(100);
  RouteSpec patient = route;
  patient.name = "patient";
  patient.prefix = "/patient/";
  patient.timeout = std::chrono::seconds(2);
  ApplyRoutes({route, patient});
  EXPECT_TRUE(Send("/p/1").starts_with("HTTP/1.1 503"));
  RequestExplanation explanation = Explain("/patient/1", kKey);
  EXPECT_EQ(explanation.verdict.outcome, "waits");
  EXPECT_GT(explanation.verdict.starts_in_ms.value_or(0), 0);
  EXPECT_LE(explanation.verdict.starts_in_ms.value_or(0), 300);
  explanation = Explain("/p/1", kKey);
  EXPECT_EQ(explanation.verdict.status, kStatusUnavailable);
  EXPECT_EQ(explanation.verdict.cause, "withheld");
  EXPECT_EQ(explanation.placements.front().replicas.front().passed_over,
            "waiting");
  const std::string text = Send("/p/1");
  const auto header = text.find("Retry-After: ");
  ASSERT_NE(header, std::string::npos);
  EXPECT_NEAR(
      std::stod(text.substr(header + 13)) * 1'000,
      static_cast<double>(explanation.verdict.retry_after_ms.value_or(0)), 60);
}

// Guards against an explanation whose size grows with the fleet.
TEST_F(RequestExplanationTest, Lists_Long_AreBounded) {
  std::vector<std::string> shards;
  shards.reserve(12);
  for (int i = 0; i < 12; ++i) shards.push_back("s" + std::to_string(i));
  for (const std::string& shard : shards) {
    if (shard != "s11") AddUpstream(shard, RepliesWith(MakeRecord('k')));
  }
  for (int i = 0; i < 11; ++i) AddUpstream("a", RepliesWith("x"));
  ApplyRoutes({ScatterRoute(shards), PassRoute("a", RetryPolicy::kIdempotent)});
  const RequestExplanation query = Explain("/s/1");
  EXPECT_EQ(query.placements.size(), RequestExplanation::kMaxShards);
  EXPECT_EQ(query.placements.front().service, "s11");
  EXPECT_EQ(query.shards->total, 12U);
  const RequestExplanation single = Explain("/p/1");
  EXPECT_EQ(single.placements.front().replicas.size(),
            PlacementExplanation::kMaxReplicas);
  EXPECT_EQ(single.placements.front().all_replicas, 11U);
}

TEST_F(RequestExplanationTest, Team_OverQuota_IsRefusedAsTheRequestIs) {
  AddUpstream("a", RepliesWith("x"));
  AddTeam(/*rate=*/0.5, /*burst=*/1);
  core_.EnforceQuotas({.overshoot = 0, .slack = 0});
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  RunFor(std::chrono::milliseconds(2'100));
  EXPECT_EQ(Explain("/p/1", kKey).quota->state, "allowed");
  EXPECT_TRUE(Send("/p/1").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(Send("/p/1").starts_with("HTTP/1.1 429"));
  const RequestExplanation explanation = Explain("/p/1", kKey);
  EXPECT_EQ(explanation.quota->state, "refused");
  EXPECT_EQ(explanation.verdict.status, kStatusTooManyRequests);
  EXPECT_EQ(explanation.verdict.cause, "over_quota");
  EXPECT_GT(explanation.verdict.retry_after_ms.value_or(0), 0);
}

// Guards against explanations that move the turns of targets or replicas: each
// request goes where the explanations before it said.
TEST_F(RequestExplanationTest, Requests_ExplainedBefore_GoWhereTheySaid) {
  for (const char* service : {"a", "a", "b"}) {
    AddUpstream(service, RepliesWith("x"));
  }
  AddTeam();
  RouteSpec route = PassRoute("a", RetryPolicy::kIdempotent);
  route.targets = {{.service = "a", .weight = 2}, {.service = "b"}};
  ApplyRoutes({route});
  for (std::size_t i = 0; i < 9; ++i) {
    const std::string chosen = Explain("/p/1", kKey).placements.front().chosen;
    EXPECT_EQ(Explain("/p/1", kKey).placements.front().chosen, chosen);
    const auto upstream = std::find_if(
        upstreams_.begin(), upstreams_.end(),
        [&](const auto& each) { return each.record.id == chosen; });
    ASSERT_NE(upstream, upstreams_.end());
    const std::size_t before = upstream->requests.size();
    EXPECT_TRUE(Send("/p/1").starts_with("HTTP/1.1 200"));
    EXPECT_EQ(upstream->requests.size(), before + 1);
  }
}

// Guards against explanations that take tokens, draw lots, count demand or
// send anything.
TEST_F(RequestExplanationTest, State_AfterExplanations_IsUnchanged) {
  AddUpstream("a", [](const testing::FakeRequest& request,
                      const std::shared_ptr<testing::FakeConnection>& at) {
    auto reply = SignedReply(request, "x");
    reply.headers.emplace_back("X-Rate", "1");
    at->Reply(reply);
  });
  AddUpstream("b", RepliesWith(MakeRecord('k')));
  AddTeam(/*rate=*/0.5, /*burst=*/2);
  core_.EnforceQuotas({.overshoot = 0, .slack = 0});
  ApplyRoutes(
      {PassRoute("a", RetryPolicy::kIdempotent), ScatterRoute({"b", "c"})});
  RunFor(std::chrono::milliseconds(4'200));
  ASSERT_TRUE(Send("/p/1").starts_with("HTTP/1.1 200"));  // States its rate.
  RunFor(std::chrono::milliseconds(100));
  const UpstreamGate& gate =
      core_.FindService("a")->upstreams().front()->gate();
  ASSERT_TRUE(gate.rate_limiter().stated().has_value());
  const TimePoint now = BootClock::now();
  const TimePoint opens_at = gate.OpensAt(now);
  const std::uint64_t query = core_.upcoming_query_number();
  const std::size_t requests = RequestsAtUpstreams();
  const double extra = core_.FindService("a")->ExtraAttemptsLeft(now);
  const auto held = core_.team_quotas()->PreviewAcquire("search", now);
  const std::string metrics = metrics_.Render();
  const RequestToExplain single{.host = "h.example",
                                .target = "/p/1",
                                .credentials = {"Bearer " + std::string(kKey)}};
  RequestToExplain gathered = single;
  gathered.target = "/s/1";
  const std::string first = ToJson(ExplainRequest(core_, single, now));
  for (int i = 0; i < 20; ++i) {
    ExplainRequest(core_, gathered, now);
    EXPECT_EQ(ToJson(ExplainRequest(core_, single, now)), first);
  }
  EXPECT_EQ(metrics_.Render(), metrics);
  EXPECT_EQ(gate.OpensAt(now), opens_at);
  EXPECT_EQ(core_.upcoming_query_number(), query);
  EXPECT_EQ(core_.FindService("a")->ExtraAttemptsLeft(now), extra);
  EXPECT_TRUE(core_.FindService("a")->waiting().empty());
  const auto after = core_.team_quotas()->PreviewAcquire("search", now);
  EXPECT_EQ(after.held_tokens, held.held_tokens);
  EXPECT_EQ(after.outcome.kind, held.outcome.kind);
  RunFor(std::chrono::milliseconds(30));
  EXPECT_EQ(RequestsAtUpstreams(), requests);
  EXPECT_TRUE(Send("/s/1").starts_with("HTTP/1.1 200"));  // The last token.
  EXPECT_TRUE(Send("/s/1").starts_with("HTTP/1.1 429"));
}

}  // namespace
}  // namespace lacewingknot::edge
