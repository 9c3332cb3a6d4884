// Test fixture with an edge, its clients and scripted upstreams in one process.
//
// All of them use loopback sockets and one io_context that the test thread
// runs, so a test runs the loop until the condition that it waits for holds:
//
//   TEST_F(EdgeFixture, Request_UpstreamReplies_IsAnswered) {
//     AddUpstream("shop", RepliesWith("body"));
//     ApplyRoutes({PassRoute("shop", edge::RetryPolicy::kIdempotent)});
//     EXPECT_EQ(SendRequest("/p/x").status, 200);
//   }
//
// Not thread-safe.

#ifndef TESTING_EDGE_FIXTURE_H_
#define TESTING_EDGE_FIXTURE_H_

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/edge_server.h"
#include "lacewingknot/net/http_connection.h"
#include "testing/fake_http.h"

namespace lacewingknot::testing {

// A client connection on which a test writes raw bytes and collects the bytes
// that it receives.
class RawClient {
 public:
  RawClient(boost::asio::io_context& io, std::uint16_t port);
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Write(std::string_view bytes);
  void Close();
  const std::string& received() const { return state_->received; }
  bool closed() const { return state_->closed; }

 private:
  // Shared with the outstanding read, which may outlive the client.
  struct State {
    explicit State(boost::asio::io_context& io) : socket(io) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string received;
    bool closed = false;
  };

  static void Read(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

class EdgeFixture : public ::testing::Test {
 protected:
  using Handler =
      std::function<void(FakeRequest, std::shared_ptr<FakeConnection>)>;

  // An upstream whose handler the test sets; `requests` holds every request
  // that it has received.
  struct ScriptedUpstream {
    std::unique_ptr<FakeHttpServer> server;
    edge::UpstreamRecord record;
    Handler handler;
    std::vector<FakeRequest> requests;
  };

  // `concurrency_limit` is the setting of that name.
  explicit EdgeFixture(bool concurrency_limit = false);

  // Adds an upstream on a free port. The reference stays valid for the life of
  // the fixture.
  ScriptedUpstream& AddUpstream(const std::string& service, Handler handler);
  // Returns a complete, signed answer to `request` with `body`.
  static FakeReply SignedReply(const FakeRequest& request, std::string body);
  // Returns a record of 16 bytes that begins with `lead`.
  static std::string MakeRecord(char lead);
  // Returns a handler that answers every request at once with `body`.
  static Handler RepliesWith(const std::string& body);
  // Returns a handler that reads the request and never answers it.
  static Handler NeverReplies();

  // Applies `routes` and the present list of upstreams to the edge.
  void ApplyRoutes(std::vector<edge::RouteSpec> routes);
  // Applies the present list of upstreams to the edge.
  void ApplyDirectory();

  // Returns a route that forwards requests under "/p/" to `service`.
  static edge::RouteSpec PassRoute(const std::string& service,
                                   edge::RetryPolicy repeat);
  // Returns a route that scatters requests under "/s/" over `shards`.
  static edge::RouteSpec ScatterRoute(std::vector<std::string> shards);

  // Sends one request on a new connection and waits for its answer.
  HttpReply SendRequest(const std::string& target,
                        const std::string& id = "id-1",
                        const std::string& body = "");

  // Runs the loop until `done` returns true; fails the test after 10 seconds.
  void RunUntil(const std::function<bool()>& done);
  void RunFor(Duration duration);

  boost::asio::io_context io_;
  edge::HeaderNames names_{.request_id = "X-Id",
                           .deadline_ms = "X-Left",
                           .signature = "X-Signature",
                           .expected_upstream = "X-Expect",
                           .not_run = "X-Not-Run",
                           .stated_rate = "X-Rate",
                           .leaving = "X-Leaving",
                           .cold_remaining = "X-Cold",
                           .team = "X-Team",
                           .part_signatures = "X-Parts",
                           .missing_parts = "X-Missing"};
  edge::EdgeMetrics metrics_;
  edge::EdgeCore core_;
  edge::EdgeServer server_;
  std::deque<ScriptedUpstream> upstreams_;
  std::set<std::string> evacuated_;
  std::map<std::string, edge::ServiceLimits, std::less<>> service_limits_;
  edge::ClientLimits client_limits_;
  std::vector<edge::TeamTable::Entry> teams_;
  std::uint64_t revision_ = 0;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_EDGE_FIXTURE_H_
