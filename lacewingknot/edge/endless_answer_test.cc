// Tests upstreams that send bytes without end instead of a complete answer: the
// daemon must end the request and close the connection.

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string repeat;
  std::size_t max_sent_bytes;  // The most that the daemon may accept.
};

// Allowance for the buffers of both sockets, which fill in addition to what the
// daemon reads.
constexpr std::size_t kSocketBufferBytes = 8 << 20;
constexpr std::size_t kMaxAnswerBytes = 8 << 20;

std::string Lines(std::string_view line) {
  std::string lines;
  while (lines.size() < 16'000) lines += line;
  return lines;
}

// Reads a request, then sends until the peer closes the connection.
class EndlessServer : public std::enable_shared_from_this<EndlessServer> {
 public:
  EndlessServer(boost::asio::io_context& io, const EndlessAnswer& answer)
      : answer_(answer),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io) {}

  void Start() {
    acceptor_.async_accept(
        socket_, [self = shared_from_this()](boost::system::error_code error) {
          if (error) return;
          self->socket_.async_read_some(
              boost::asio::buffer(self->request_),
              [self](boost::system::error_code, std::size_t) {
                self->Write(self->answer_.begin);
              });
        });
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  bool closed() const { return closed_; }
  std::size_t sent() const { return sent_; }

 private:
  void Write(const std::string& bytes) {
    boost::asio::async_write(
        socket_, boost::asio::buffer(bytes),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t written) {
          self->sent_ += written;
          if (error) {
            self->closed_ = true;
          } else {
            self->Write(self->answer_.repeat);
          }
        });
  }

  const EndlessAnswer& answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> request_{};
  std::size_t sent_ = 0;
  bool closed_ = false;
};

class EndlessAnswerTest : public testing::EdgeFixture,
                          public ::testing::WithParamInterface<EndlessAnswer> {
 protected:
  EndlessAnswerTest() { endless_->Start(); }

  void AddEndless(const std::string& service) {
    AddUpstream(service, NeverReplies()).record.address =
        "127.0.0.1:" + std::to_string(endless_->port());
  }

  std::shared_ptr<EndlessServer> endless_ =
      std::make_shared<EndlessServer>(io_, GetParam());
};

INSTANTIATE_TEST_SUITE_P(
    Kinds, EndlessAnswerTest,
    ::testing::Values(
        EndlessAnswer{"Head", "HTTP/1.1 200 OK\r\n", Lines("X-A: bbbbbbbb\r\n"),
                      kSocketBufferBytes},
        EndlessAnswer{"HeaderLine", "HTTP/1.1 200 OK\r\nX-A: ",
                      std::string(16'000, 'a'), kSocketBufferBytes},
        EndlessAnswer{"Noise", "", std::string(16'000, '#'),
                      kSocketBufferBytes},
        EndlessAnswer{"InterimAnswers", "",
                      Lines("HTTP/1.1 100 Continue\r\n\r\n"),
                      kSocketBufferBytes},
        EndlessAnswer{"ChunkExtension",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                      std::string(16'000, 'e'), kSocketBufferBytes},
        EndlessAnswer{
            "Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Lines("4\r\nbody\r\n"), 4 * kMaxAnswerBytes + kSocketBufferBytes},
        EndlessAnswer{
            "Trailers",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            Lines("X-A: bbbbbbbb\r\n"), kSocketBufferBytes},
        EndlessAnswer{"BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n",
                      std::string(16'000, 'x'),
                      kMaxAnswerBytes + kSocketBufferBytes},
        EndlessAnswer{
            "ExabytesPromised",
            "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
            std::string(16'000, 'x'), kSocketBufferBytes}),
    [](const auto& kind) { return std::string(kind.param.name); });

TEST_P(EndlessAnswerTest, Request_ToOneUpstream_FailsAndConnectionIsClosed) {
  AddEndless("s");
  RouteSpec route = PassRoute("s", RetryPolicy::kAtMostOnce);
  route.timeout = milliseconds(8'000);
  ApplyRoutes({route});
  const HttpReply reply = SendRequest("/p/1");
  EXPECT_GE(reply.status, 500);
  EXPECT_NE(reply.status, 503);  // The request may have run.
  RunUntil([&] { return endless_->closed(); });
  EXPECT_LE(endless_->sent(), GetParam().max_sent_bytes);
}

TEST_P(EndlessAnswerTest, Query_OverShards_IsAnsweredWithoutShard) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  AddUpstream("b", RepliesWith(MakeRecord('z')));
  AddEndless("c");
  RouteSpec route = ScatterRoute({"a", "b", "c"});
  route.min_coverage = 0.5;
  route.target_latency = milliseconds(400);
  ApplyRoutes({route});
  const TimePoint started_at = BootClock::now();
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.header("X-Missing"), "1");
  EXPECT_LT(BootClock::now() - started_at, milliseconds(600));
  RunUntil([&] { return endless_->closed(); });
}

}  // namespace
}  // namespace lacewingknot::edge
