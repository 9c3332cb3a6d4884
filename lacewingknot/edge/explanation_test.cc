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

}  // namespace
}  // namespace lacewingknot::edge
