// An edge in one process: clients, the edge and scripted upstreams on loopback,
// all on one thread, so that a test runs the loop until what it waits for.

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

// A client's connection on which a test writes bytes and reads what comes.
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
  // Outlives the client while a read is outstanding.
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

  // One upstream; counts what reaches it.
  struct ScriptedUpstream {
    std::unique_ptr<FakeHttpServer> server;
    edge::UpstreamRecord record;
    Handler handler;
    std::vector<FakeRequest> seen;
  };

  EdgeFixture();

  // Adds an upstream with a free port. Its address stays valid.
  ScriptedUpstream& AddUpstream(const std::string& service, Handler handler);
  // A whole answer to `request` with `body`, signed.
  static FakeReply Answer(const FakeRequest& request, std::string body);
  // A record of 16 bytes that begins with `lead`.
  static std::string Record(char lead);
  // Handler that answers at once with `body`.
  static Handler Answers(const std::string& body);
  // Handler that reads the request and stays silent.
  static Handler Silent();

  // Puts `routes` and the upstreams as they are in force.
  void Publish(std::vector<edge::RouteSpec> routes);
  void PublishDirectory();

  // A route that passes "/p/" on to `service`.
  static edge::RouteSpec PassRoute(const std::string& service,
                                   edge::Repeat repeat);
  // A route that scatters "/s/" over `shards`.
  static edge::RouteSpec ScatterRoute(std::vector<std::string> shards);

  // Sends one request on a new connection and waits for its answer.
  HttpReply Call(const std::string& target, const std::string& id = "id-1",
                 const std::string& body = "");

  // Runs the loop until `done`; fails the test after ten seconds.
  void RunUntil(const std::function<bool()>& done);
  void RunFor(Duration duration);

  boost::asio::io_context io_;
  edge::HeaderNames names_{.request_id = "X-Id",
                           .deadline_ms = "X-Left",
                           .signature = "X-Signature",
                           .expected_upstream = "X-Expect",
                           .not_run = "X-Not-Run",
                           .part_signatures = "X-Parts",
                           .missing_parts = "X-Missing"};
  edge::EdgeMetrics metrics_;
  edge::EdgeCore core_;
  edge::EdgeServer server_;
  std::deque<ScriptedUpstream> upstreams_;
  std::set<std::string> evacuated_;
  std::map<std::string, edge::ServiceLimits, std::less<>> service_limits_;
  edge::ClientLimits client_limits_;
  std::uint64_t revision_ = 0;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_EDGE_FIXTURE_H_
