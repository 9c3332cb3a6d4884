// Tests that an upstream which restarts under its id, unnoticed by the
// configuration store, is not sent the load of its former incarnation.

#include "lacewingknot/edge/explanation.h"
#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using testing::FakeConnection;
using testing::FakeRequest;

using ConnectionRef = const std::shared_ptr<FakeConnection>&;

class ColdRestartTest : public testing::EdgeFixture {
 protected:
  // Adds two replicas of service "s"; the fleet may send a cold one eight
  // requests a second, this daemon one.
  void AddReplicas(const std::string& health_path) {
    for (int i = 0; i < 2; ++i) {
      AddUpstream("s", [this](const FakeRequest& request, ConnectionRef at) {
        if (request.path != "/health") {
          at->Reply(SignedReply(request, "body"));
          return;
        }
        ++health_checks_;
        at->Reply(
            {.status = 200, .headers = {{"X-Cold", std::to_string(cold_ms_)}}});
      });
    }
    service_limits_["s"] = {.max_connections = 100,
                            .cold_requests_per_second = 8,
                            .cold_time = kColdTime,
                            .health_path = health_path};
    ApplyRoutes({PassRoute("s", RetryPolicy::kIdempotent)});
  }

  // Sends requests one after another for `duration`; returns how many requests
  // the first replica got.
  int SendFor(Duration duration) {
    const std::size_t before = Requests();
    const TimePoint end = BootClock::now() + duration;
    while (BootClock::now() < end) {
      const int status =
          SendRequest("/p/1", "id-" + std::to_string(++sent_)).status;
      served_ += status == 200 ? 1 : 0;
    }
    return static_cast<int>(Requests() - before);
  }

  // Leaves the first replica as the only one.
  void DrainSecondReplica() {
    upstreams_[1].record.draining = true;
    ApplyDirectory();
  }

  std::size_t Requests() const {
    return static_cast<std::size_t>(std::count_if(
        upstreams_[0].requests.begin(), upstreams_[0].requests.end(),
        [](const auto& request) { return request.path != "/health"; }));
  }

  // The store confirms its contents now, and not again.
  void LoseStore() {
    metrics_.OnStoreCall("ok");
    RunFor(milliseconds(600));
  }

  // Begins a request of a client to the only replica, which answers nothing.
  testing::RawClient& BeginRequest() {
    const std::size_t before = Requests();
    testing::RawClient& client = clients_.emplace_back(io_, server_.port());
    client.Write("GET /p/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: id-" +
                 std::to_string(++sent_) + "\r\nX-Left: 1500\r\n\r\n");
    RunUntil([&] { return Requests() > before; });
    return client;
  }

  // Whether an upstream has been presumed cold.
  bool WasPresumedCold() const {
    return metrics_.Render().find("presumed_cold") != std::string::npos;
  }

  // The first replica is down for a moment, under load.
  void Restart() {
    upstreams_[0].server->set_down(true);
    SendFor(milliseconds(100));
    upstreams_[0].server->set_down(false);
  }

  static constexpr Duration kColdTime = milliseconds(1'500);

  std::deque<testing::RawClient> clients_;
  int cold_ms_ = 0;
  int health_checks_ = 0;
  int sent_ = 0;
  int served_ = 0;
};

// Guards against full load on an upstream that is back, cold, under its former
// id and whose new record is not known here yet.
TEST_F(ColdRestartTest, Upstream_BackUnderItsId_GetsColdRate) {
  AddReplicas("/health");
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  cold_ms_ = 60'000;
  Restart();
  EXPECT_LE(SendFor(milliseconds(900)), 2);
  EXPECT_GE(health_checks_, 1);
  // The upstream states a longer time than its service's usual one.
  RunFor(kColdTime);
  EXPECT_LE(SendFor(milliseconds(300)), 2);
  const auto explanation = ExplainService(core_, "s", BootClock::now());
  EXPECT_EQ(explanation->upstreams.front().reason, "cold");
  EXPECT_EQ(served_, sent_);
}

// Connections may break off without a restart.
TEST_F(ColdRestartTest, Upstream_StatesThatItIsWarm_GetsFullLoadAtOnce) {
  AddReplicas("/health");
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  Restart();
  DrainSecondReplica();
  RunUntil([&] {
    SendFor(milliseconds(20));
    return health_checks_ > 0;
  });
  EXPECT_GT(SendFor(milliseconds(300)), 5);
}

TEST_F(ColdRestartTest, Upstream_WithoutHealthChecks_GetsColdRateForColdTime) {
  AddReplicas("");
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  Restart();
  DrainSecondReplica();
  // The cold time begins with the first connection. One of the requests during
  // the restart may have been sent, so the next may follow a second later.
  int requests = 0;
  RunUntil([&] {
    requests += SendFor(milliseconds(50));
    return requests > 0;
  });
  EXPECT_LE(requests + SendFor(milliseconds(900)), 2);
  RunFor(kColdTime);
  EXPECT_GT(SendFor(milliseconds(300)), 5);
}

// The first request to the new incarnation counts beside those that were sent
// while it was only presumed.
TEST_F(ColdRestartTest, Record_OfNewIncarnation_SharesRateWithFormer) {
  AddReplicas("/health");
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  cold_ms_ = 60'000;
  Restart();
  DrainSecondReplica();
  RunUntil([&] { return SendFor(milliseconds(50)) > 0; });
  upstreams_[0].record.incarnation = 7;
  upstreams_[0].record.cold_until = BootClock::now() + std::chrono::seconds(5);
  ApplyDirectory();
  EXPECT_EQ(SendFor(milliseconds(500)), 0);
}

// Guards against full load for the whole cold time from a daemon that has no
// connection to the upstream, and so sees no sign, while it lacks the store.
TEST_F(ColdRestartTest, Upstream_StoreLostAndNoConnection_IsAskedFirst) {
  AddReplicas("/health");
  cold_ms_ = 60'000;
  LoseStore();
  EXPECT_LE(SendFor(milliseconds(900)), 2);
  EXPECT_GE(health_checks_, 1);
  const auto explanation = ExplainService(core_, "s", BootClock::now());
  EXPECT_EQ(explanation->upstreams.front().reason, "cold");
}

TEST_F(ColdRestartTest, Upstream_StoreLostAndStatedWarm_GetsFullLoad) {
  AddReplicas("/health");
  LoseStore();
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  EXPECT_GE(health_checks_, 1);
  EXPECT_EQ(served_, sent_);
}

TEST_F(ColdRestartTest, Upstream_ConfirmedByStore_IsNotAsked) {
  AddReplicas("/health");
  metrics_.OnStoreCall("ok");
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  EXPECT_EQ(health_checks_, 0);
}

TEST_F(ColdRestartTest, Service_WithoutColdRate_IsNotAsked) {
  AddReplicas("/health");
  service_limits_["s"].cold_requests_per_second = 0;
  ApplyRoutes({PassRoute("s", RetryPolicy::kIdempotent)});
  LoseStore();
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  Restart();
  DrainSecondReplica();
  EXPECT_GT(SendFor(milliseconds(300)), 5);
  EXPECT_EQ(health_checks_, 0);
}

// Guards against a restart that goes unnoticed because a connection opens while
// the others break off: a listening socket or a load balancer accepts it also
// while no process answers.
TEST_F(ColdRestartTest, Connections_BrokenOffWhileNewOneOpens_AreRestartSign) {
  std::vector<std::shared_ptr<FakeConnection>> connections;
  AddUpstream("s", [&](const FakeRequest&, ConnectionRef at) {
    connections.push_back(at);
  });
  service_limits_["s"] = {.max_connections = 100,
                          .cold_requests_per_second = 8,
                          .cold_time = kColdTime};
  ApplyRoutes({PassRoute("s", RetryPolicy::kIdempotent)});
  BeginRequest();
  BeginRequest();
  connections[0]->Close();
  RunFor(milliseconds(50));
  // The remaining connection is as old as the one that broke off.
  EXPECT_FALSE(WasPresumedCold());
  BeginRequest();
  connections[1]->Close();
  RunFor(milliseconds(50));
  EXPECT_TRUE(WasPresumedCold());
}

// Guards against a share that is used up by requests which no upstream got.
TEST_F(ColdRestartTest, Requests_NeverSent_TakeNothingOfTheShare) {
  AddReplicas("");
  const boost::asio::ip::tcp::endpoint any_port(
      boost::asio::ip::make_address("127.0.0.1"), 0);
  boost::asio::ip::tcp::socket not_listening(io_, any_port);
  const std::string address = upstreams_[0].record.address;
  upstreams_[0].record.address =
      "127.0.0.1:" + std::to_string(not_listening.local_endpoint().port());
  upstreams_[0].record.cold_until = BootClock::now() + std::chrono::minutes(1);
  DrainSecondReplica();
  EXPECT_EQ(SendFor(milliseconds(100)), 0);
  upstreams_[0].record.address = address;
  ApplyDirectory();
  EXPECT_EQ(SendFor(milliseconds(300)), 1);
}

}  // namespace
}  // namespace lacewingknot::edge
