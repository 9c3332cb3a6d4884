#include "lacewingknot/edge/explanation.h"

#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

class ExplanationTest : public testing::EdgeFixture {
 protected:
  std::string_view ReasonOf(const std::string& service, std::size_t index) {
    const auto explanation = ExplainService(core_, service, BootClock::now());
    EXPECT_TRUE(explanation.has_value());
    return explanation->upstreams.at(index).reason;
  }
};

TEST_F(ExplanationTest, Service_Unknown_HasNoExplanation) {
  EXPECT_FALSE(ExplainService(core_, "a", BootClock::now()).has_value());
}

TEST_F(ExplanationTest, Upstream_NoHistory_IsGood) {
  AddUpstream("a", RepliesWith("x"));
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  EXPECT_EQ(ReasonOf("a", 0), "good");
}

TEST_F(ExplanationTest, Upstream_Draining_ReasonIsDraining) {
  AddUpstream("a", RepliesWith("x")).record.draining = true;
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  EXPECT_EQ(ReasonOf("a", 0), "draining");
}

TEST_F(ExplanationTest, Upstream_DataCentreEvacuated_ReasonIsEvacuated) {
  AddUpstream("a", RepliesWith("x"));
  evacuated_.insert("here");
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  EXPECT_EQ(ReasonOf("a", 0), "evacuated");
}

TEST_F(ExplanationTest, Upstream_RefusesConnections_ReasonIsBackingOff) {
  AddUpstream("a", RepliesWith("x")).server->set_down(true);
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  for (int i = 0; i < 3; ++i) SendRequest("/p/1", "id-" + std::to_string(i));
  EXPECT_EQ(ReasonOf("a", 0), "backing_off");
}

TEST_F(ExplanationTest, Json_OfService_ContainsUpstreams) {
  AddUpstream("a", RepliesWith("x"));
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  const std::string text =
      ToJson(*ExplainService(core_, "a", BootClock::now()));
  EXPECT_NE(text.find(R"("id":"up-1")"), std::string::npos);
  EXPECT_NE(text.find(R"("reason":"good")"), std::string::npos);
}

// Guards against a change of what operators read while limits are not learned.
TEST_F(ExplanationTest, Json_WithoutLearnedLimits_LacksThem) {
  AddUpstream("a", RepliesWith("x"));
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  SendRequest("/p/1");
  const std::string text =
      ToJson(*ExplainService(core_, "a", BootClock::now()));
  EXPECT_EQ(text.find("limit"), std::string::npos);
  EXPECT_EQ(metrics_.Render().find("concurrency_limit"), std::string::npos);
}

class LearnedLimitTest : public testing::EdgeFixture {
 protected:
  LearnedLimitTest() : EdgeFixture(/*concurrency_limit=*/true) {}
};

TEST_F(LearnedLimitTest, Upstream_FewRequests_LimitIsItsSlots) {
  AddUpstream("a", RepliesWith("x")).record.slots = 3;
  service_limits_["a"].max_connections = 80;
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(SendRequest("/p/1", "id-" + std::to_string(i)).status, 200);
  }
  const auto explanation = ExplainService(core_, "a", BootClock::now());
  const UpstreamExplanation& upstream = explanation->upstreams.at(0);
  EXPECT_EQ(upstream.limit, 3);
  EXPECT_GT(upstream.next_us.value_or(0), 0);
  EXPECT_NE(ToJson(*explanation).find(R"("limit":3)"), std::string::npos);
  EXPECT_NE(metrics_.Render().find(
                R"(lacewingknot_edge_concurrency_limit_count{service="a"} 3)"),
            std::string::npos);
}

// Guards against a limit that becomes a reason to refuse requests.
TEST_F(LearnedLimitTest, Requests_AllUpstreamsAtTheirLimit_AreServed) {
  AddUpstream("a", RepliesWith("x")).record.slots = 1;
  ApplyRoutes({PassRoute("a", RetryPolicy::kIdempotent)});
  const UpstreamPtr upstream = core_.FindService("a")->upstreams().front();
  int answered = 0;
  for (int i = 0; i < 4; ++i) {
    auto attempt = std::make_shared<Attempt>();
    attempt->request = std::make_shared<OutboundRequest>(
        OutboundRequest{.head = "GET /p/1 HTTP/1.1\r\nHost: a\r\n",
                        .request_id = "id-" + std::to_string(i)});
    attempt->deadline = BootClock::now() + std::chrono::seconds(5);
    attempt->mean_latency = std::chrono::milliseconds(20);
    attempt->on_done = [&](const AttemptResult&) { ++answered; };
    const UpstreamPtr chosen = core_.FindService("a")->ChooseForAttempt(
        AttemptKind::kFirst, {.mean_latency = attempt->mean_latency},
        BootClock::now());
    ASSERT_EQ(chosen, upstream);
    chosen->Submit(attempt);
  }
  RunUntil([&] { return answered == 4; });
}

}  // namespace
}  // namespace lacewingknot::edge
