// Tests what an entry daemon does with a relay whose frames the test writes.

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>

#include "lacewingknot/edge/relay_messages.h"
#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

namespace asio = boost::asio;

class ScatterRelaysTest : public testing::EdgeFixture {
 protected:
  // Makes the scripted relay the preferred one of every group.
  void UseRelay() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
          if (error) return;
          socket_.emplace(std::move(socket));
          Read();
        });
    std::vector<RelayCandidate> candidates{
        {.address =
             "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()),
         .processor_share = 1e6}};
    for (int i = 1; i < 8; ++i) {
      candidates.push_back({.address = "127.0.0.1:" + std::to_string(i)});
    }
    core_.set_members({{"here", candidates}}, "127.0.0.1:9999");
    static const std::vector<std::string> data_centres{"here"};
    RunUntil([&] {
      return core_.relay_table()
                 .ChooseRelay({.replica_data_centres = data_centres},
                              BootClock::now())
                 .relay != nullptr;
    });
  }

  // Ends the attempts of `request` without having made them.
  void Decline(const RelayAttemptRequest& request, std::string_view cause) {
    RelayResults message{.query = request.query};
    for (const RelayAttempt& attempt : request.attempts) {
      message.results.push_back({.number = attempt.number,
                                 .end = AttemptEnd::kNotSent,
                                 .cause = std::string(cause)});
    }
    asio::write(*socket_, asio::buffer(EncodeRelayFrame(message)));
  }

  std::vector<RelayAttemptRequest> requests_;  // Received by the relay.

 private:
  void Read() {
    socket_->async_read_some(
        asio::buffer(chunk_),
        [this](boost::system::error_code error, std::size_t size) {
          if (error) return;
          received_.append(chunk_.data(), size);
          for (auto message = ExtractRelayFrame(received_);
               message && message.value();
               message = ExtractRelayFrame(received_)) {
            auto* request = std::get_if<RelayAttemptRequest>(&*message.value());
            if (request) requests_.push_back(std::move(*request));
          }
          Read();
        });
  }

  asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  std::optional<asio::ip::tcp::socket> socket_;
  std::array<char, 4096> chunk_{};
  std::string received_;
};

// Guards against reading the last data centre queried when there is none: the
// declined ones have been removed, and the directory names no other.
TEST_F(ScatterRelaysTest, Decline_AfterUpstreamsAreRemoved_ShardIsMissing) {
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a", "b"})});
  UseRelay();
  testing::RawClient client(io_, server_.port());
  client.Write("GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: q\r\n\r\n");
  RunUntil([&] { return !requests_.empty(); });
  ASSERT_EQ(requests_.front().attempts.size(), 2U);
  upstreams_.pop_back();
  ApplyDirectory();
  // The entry daemon queries "b" itself; the link stays open for it.
  Decline(requests_.front(), kCauseBetterElsewhere);
  RunUntil([&] { return !client.received().empty(); });
  EXPECT_EQ(client.received().substr(9, 3), "200");
  EXPECT_NE(client.received().find("X-Missing: 1"), std::string::npos);
  EXPECT_EQ(requests_.size(), 1U);
}

}  // namespace
}  // namespace lacewingknot::edge
