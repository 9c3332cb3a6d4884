// Tests that the edge answers with a status that promises "not run" only if the
// upstream has stated that.

#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using testing::FakeConnection;
using testing::FakeReply;
using testing::FakeRequest;

class PromiseStatusTest : public testing::EdgeFixture,
                          public ::testing::WithParamInterface<int> {
 protected:
  ScriptedUpstream& AddAnswering(bool states_not_run) {
    return AddUpstream(
        "s", [states_not_run](const FakeRequest& request,
                              const std::shared_ptr<FakeConnection>& at) {
          FakeReply reply = SignedReply(request, "busy");
          reply.status = GetParam();
          reply.headers.emplace_back("Retry-After", "0");
          if (states_not_run) reply.headers.emplace_back("X-Not-Run", "1");
          at->Reply(reply);
        });
  }
};

INSTANTIATE_TEST_SUITE_P(Statuses, PromiseStatusTest,
                         ::testing::Values(408, 429, 503),
                         [](const auto& status) {
                           return "Status" + std::to_string(status.param);
                         });

// Guards against telling a client that its write has not run, upon which it
// sends the write again, although nobody knows that.
TEST_P(PromiseStatusTest, AtMostOnce_UpstreamDoesNotStateIt_IsBadGateway) {
  auto& upstream = AddAnswering(/*states_not_run=*/false);
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  const HttpReply reply = SendRequest("/p/1", "id-1", "write");
  EXPECT_EQ(reply.status, kStatusBadGateway);
  EXPECT_EQ(reply.header("X-Signature"), "");
  EXPECT_EQ(reply.header("Retry-After"), "");
  EXPECT_EQ(reply.body, "");
  EXPECT_EQ(upstream.requests.size(), 1U);
}

TEST_P(PromiseStatusTest, AtMostOnce_UpstreamStatesNotRun_IsRefusedAsNotRun) {
  AddAnswering(/*states_not_run=*/true);
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  const HttpReply reply = SendRequest("/p/1", "id-1", "write");
  EXPECT_EQ(reply.status, kStatusUnavailable);
  EXPECT_NE(reply.header("Retry-After"), "");
  EXPECT_EQ(reply.header("X-Signature"), "");
}

TEST_P(PromiseStatusTest, Idempotent_UpstreamDoesNotStateIt_IsUnchanged) {
  AddAnswering(/*states_not_run=*/false);
  ApplyRoutes({PassRoute("s", RetryPolicy::kIdempotent)});
  const HttpReply reply = SendRequest("/p/1");
  EXPECT_EQ(reply.status, GetParam());
  EXPECT_EQ(reply.header("X-Signature"), "sig-busy");
  EXPECT_EQ(reply.body, "busy");
}

// A query runs again, but its refusal must not state more than is known either.
TEST_P(PromiseStatusTest, Query_UpstreamsDoNotStateIt_IsBadGateway) {
  AddAnswering(/*states_not_run=*/false);
  ApplyRoutes({ScatterRoute({"s"})});
  EXPECT_EQ(SendRequest("/s/1").status, kStatusBadGateway);
}

}  // namespace
}  // namespace lacewingknot::edge
