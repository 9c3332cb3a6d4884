#include "testing/fault_proxy.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "lacewingknot/net/http_connection.h"
#include "testing/fake_http.h"

namespace lacewingknot::testing {
namespace {

using std::chrono::milliseconds;

class FaultProxyTest : public ::testing::Test {
 protected:
  std::shared_ptr<HttpConnection> Connect() {
    auto connection = HttpConnection::Create(
        io_,
        ParseEndpoint("127.0.0.1:" + std::to_string(proxy_.port())).value(),
        {});
    connection->Connect([](const Result<void>&) {});
    Run();
    return connection;
  }
  // Returns the status of the answer, 0 for a connection that ends without one,
  // nothing if it stays silent.
  std::optional<int> Ask(const std::shared_ptr<HttpConnection>& connection) {
    const auto status = std::make_shared<std::optional<int>>();
    connection->Exchange({.method = "GET", .target = "/"},
                         [status](const Result<HttpReply>& reply) {
                           *status = reply ? reply.value().status : 0;
                         });
    Run();
    return *status;
  }
  void Run() { io_.run_for(milliseconds(100)); }

  boost::asio::io_context io_;
  FakeHttpServer server_{
      io_,
      {.handler = [](const FakeRequest&,
                     const std::shared_ptr<FakeConnection>& connection) {
        connection->Reply({.status = 200});
      }}};
  FaultProxy proxy_{io_, server_.port()};
};

// Guards against a severed connection that a later fault ends: its client would
// learn what the fault is to hide.
TEST_F(FaultProxyTest, OpenConnection_Severed_StaysSilentWhileNewOnesWork) {
  const auto severed = Connect();
  ASSERT_EQ(Ask(severed), 200);
  proxy_.SeverOpen();
  EXPECT_EQ(Ask(severed), std::nullopt);
  EXPECT_EQ(Ask(Connect()), 200);
  proxy_.set_fault(FaultProxy::Fault::kReset);
  proxy_.set_fault(FaultProxy::Fault::kNone);
  server_.CloseAll();
  Run();
  EXPECT_TRUE(severed->is_open());
  EXPECT_EQ(Ask(Connect()), 200);
}

}  // namespace
}  // namespace lacewingknot::testing
