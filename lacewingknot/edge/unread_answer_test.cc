// Tests clients that do not read the answers that they asked for.

#include <malloc.h>
#include <poll.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

// A client that asks, and reads only by calls of Read().
class SlowClient {
 public:
  SlowClient(boost::asio::io_context& io, std::uint16_t port,
             int receive_buffer_bytes)
      : socket_(io) {
    socket_.open(boost::asio::ip::tcp::v4());
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    socket_.connect({boost::asio::ip::address_v4::loopback(), port});
  }

  void Write(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }
  // Reads what has arrived, at most `max` bytes; returns how many these were.
  std::size_t Read(std::size_t max) {
    std::string bytes(max, '\0');
    boost::system::error_code error;
    socket_.non_blocking(true);
    return socket_.read_some(boost::asio::buffer(bytes), error);
  }
  // Whether the daemon has reset the connection.
  bool IsReset() {
    pollfd state{.fd = socket_.native_handle(), .events = 0, .revents = 0};
    return poll(&state, 1, 0) > 0 && (state.revents & POLLERR) != 0;
  }

 private:
  boost::asio::ip::tcp::socket socket_;
};

class UnreadAnswerTest : public testing::EdgeFixture {
 protected:
  static constexpr std::size_t kAnswerBytes = 7 << 20;
  static constexpr std::size_t kClients = 30;
  static constexpr std::size_t kMaxHeapGrowth = 64 << 20;

  void SetUp() override {
    AddUpstream("s", RepliesWith(std::string(kAnswerBytes, 'x'))).record.slots =
        8;
    client_limits_.idle_timeout = milliseconds(1'000);
    ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  }

  SlowClient& AddClient(int receive_buffer_bytes = 4'096) {
    clients_.push_back(std::make_unique<SlowClient>(io_, server_.port(),
                                                    receive_buffer_bytes));
    clients_.back()->Write(
        "GET /p/1 HTTP/1.1\r\nHost: h.example\r\nX-Left: 1500\r\nX-Id: i" +
        std::to_string(clients_.size()) + "\r\n\r\n");
    return *clients_.back();
  }

  static std::size_t HeapBytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }

  std::vector<std::unique_ptr<SlowClient>> clients_;
};

// Guards against answers that stay in memory because their clients do not read.
TEST_F(UnreadAnswerTest, Answers_ToManyClients_FitIntoMemory) {
  const std::size_t heap_before = HeapBytes();
  for (std::size_t i = 0; i < kClients; ++i) {
    AddClient();
    RunFor(milliseconds(25));
  }
  const std::size_t heap = HeapBytes();
  EXPECT_LE(heap - std::min(heap, heap_before), kMaxHeapGrowth);
}

// Guards against connections that are kept for clients that never read.
TEST_F(UnreadAnswerTest, Client_NotReading_IsClosedAfterIdleTimeout) {
  SlowClient& client = AddClient();
  RunFor(milliseconds(700));
  EXPECT_FALSE(client.IsReset());
  RunUntil([&] { return client.IsReset(); });
}

// Guards against cutting off clients that read slowly but steadily.
TEST_F(UnreadAnswerTest, Client_ReadingSlowly_GetsWholeAnswer) {
  // Less than the socket needs to take more of the answer.
  client_limits_.idle_timeout = milliseconds(400);
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  SlowClient& client = AddClient(256 << 10);
  constexpr std::size_t kBytesAtOnce = 100'000;
  const TimePoint started_at = BootClock::now();
  std::size_t received = 0;
  while (received < kAnswerBytes && !client.IsReset()) {
    received += client.Read(kBytesAtOnce);
    RunFor(milliseconds(40));
    ASSERT_LT(BootClock::now() - started_at, milliseconds(20'000));
  }
  EXPECT_GE(received, kAnswerBytes);
  EXPECT_GE(BootClock::now() - started_at, 2 * client_limits_.idle_timeout);
  EXPECT_FALSE(client.IsReset());
}

}  // namespace
}  // namespace lacewingknot::edge
