// Tests that reasons not to use an upstream begin and end independently.

#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using testing::FakeConnection;
using testing::FakeRequest;

class UpstreamUsabilityTest : public testing::EdgeFixture {
 protected:
  void SetUp() override { service_limits_["s"].max_connections = 80; }

  // Adds an upstream that answers its first request as another upstream would.
  ScriptedUpstream& AddReplaced() {
    ScriptedUpstream& upstream = AddUpstream("s", nullptr);
    upstream.handler = [&upstream](
                           const FakeRequest& request,
                           const std::shared_ptr<FakeConnection>& connection) {
      if (upstream.requests.size() == 1) {
        connection->Reply({.status = kMisdirectedStatus});
      } else {
        connection->Reply(SignedReply(request, "x"));
      }
    };
    return upstream;
  }

  std::vector<std::string> UsableDataCentres() const {
    const auto usable = core_.FindService("s")->usable_data_centres();
    return {usable.begin(), usable.end()};
  }
};

using Names = std::vector<std::string>;

// Guards against sending to an upstream that was marked while it counted as
// replaced: the end of that counted as the end of the mark.
TEST_F(UpstreamUsabilityTest, Upstream_MarkedWhileReplaced_StaysUnused) {
  auto& draining = AddReplaced();
  auto& evacuated = AddReplaced();
  auto& replaced = AddReplaced();
  draining.record.data_centre = "a";
  evacuated.record.data_centre = "b";
  replaced.record.data_centre = "c";
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  EXPECT_EQ(SendRequest("/p/1").status, kStatusUnavailable);
  ASSERT_EQ(draining.requests.size(), 1U);
  ASSERT_EQ(evacuated.requests.size(), 1U);
  ASSERT_EQ(replaced.requests.size(), 1U);
  EXPECT_EQ(UsableDataCentres(), Names());
  draining.record.draining = true;
  evacuated_.insert("b");
  ApplyDirectory();
  // Its refusal sends the request on to the others if they are usable.
  replaced.handler = [](const FakeRequest&,
                        const std::shared_ptr<FakeConnection>& connection) {
    connection->Reply({.status = 503, .headers = {{"X-Not-Run", "1"}}});
  };
  RunUntil([&] {
    RunFor(milliseconds(20));
    SendRequest("/p/1");
    return replaced.requests.size() == 2;
  });
  EXPECT_EQ(UsableDataCentres(), Names({"c"}));
  EXPECT_EQ(draining.requests.size(), 1U);
  EXPECT_EQ(evacuated.requests.size(), 1U);
  evacuated_.clear();
  ApplyDirectory();
  EXPECT_EQ(SendRequest("/p/1").status, kStatusOk);
  EXPECT_EQ(draining.requests.size(), 1U);
  EXPECT_EQ(evacuated.requests.size(), 2U);
}

// Guards against using an upstream at an address that another one has taken
// over because a mark of the store ends.
TEST_F(UpstreamUsabilityTest, Upstream_MarkEndsWhileReplaced_StaysUnused) {
  auto& replaced = AddReplaced();
  AddUpstream("s", RepliesWith("x"));
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  RunUntil([&] {
    SendRequest("/p/1");
    return replaced.requests.size() == 1;
  });
  for (const bool draining : {true, false}) {
    replaced.record.draining = draining;
    ApplyDirectory();
    for (int i = 0; i < 10; ++i) EXPECT_EQ(SendRequest("/p/1").status, 200);
  }
  EXPECT_EQ(replaced.requests.size(), 1U);
}

}  // namespace
}  // namespace lacewingknot::edge
