// Tests replies without end, as a faulty store or upstream sends them.

#include "lacewingknot/net/http_connection.h"

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "testing/endless_server.h"

namespace lacewingknot {
namespace {

using testing::EndlessAnswer;
using testing::EndlessServer;

// Allowance for the buffers of both sockets.
constexpr std::size_t kSocketBufferBytes = 8 << 20;
constexpr std::chrono::seconds kTimeout{5};

class HttpConnectionTest : public ::testing::TestWithParam<EndlessAnswer> {};

INSTANTIATE_TEST_SUITE_P(
    Kinds, HttpConnectionTest,
    ::testing::Values(
        EndlessAnswer{.name = "Head",
                      .begin = "HTTP/1.1 200 OK\r\nX-A: ",
                      .repeat = std::string(16'000, 'a'),
                      .max_sent_bytes = kSocketBufferBytes},
        EndlessAnswer{
            .name = "ChunkExtension",
            .begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            .repeat = std::string(16'000, 'e'),
            .max_sent_bytes = kSocketBufferBytes},
        EndlessAnswer{.name = "Trailer",
                      .begin = "HTTP/1.1 200 OK\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
                      .repeat = std::string(16'000, 't'),
                      .max_sent_bytes = kSocketBufferBytes},
        EndlessAnswer{.name = "Body",
                      .begin = "HTTP/1.1 200 OK\r\n\r\n",
                      .repeat = std::string(16'000, 'x'),
                      .max_sent_bytes = HttpConnection::kMaxReplyBytes +
                                        kSocketBufferBytes}),
    [](const auto& kind) { return std::string(kind.param.name); });

// Guards against a reply that is read into memory until its caller gives up.
TEST_P(HttpConnectionTest, Reply_WithoutEnd_IsMalformed) {
  boost::asio::io_context io;
  const auto server = std::make_shared<EndlessServer>(io, GetParam());
  server->Start();
  const auto connection = HttpConnection::Create(
      io, {boost::asio::ip::address_v4::loopback(), server->port()}, {});
  std::optional<Result<HttpReply>> reply;
  connection->Connect([&](const Result<void>& connected) {
    ASSERT_TRUE(connected.has_value());
    connection->Exchange(
        {.method = "GET", .target = "/"},
        [&](Result<HttpReply> result) { reply.emplace(std::move(result)); });
  });
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!reply && std::chrono::steady_clock::now() < end) {
    io.run_one_for(std::chrono::milliseconds(20));
  }
  ASSERT_TRUE(reply.has_value());
  ASSERT_FALSE(reply->has_value());
  EXPECT_EQ(reply->error().type, ErrorType::kMalformedAnswer);
  EXPECT_LE(server->sent(), GetParam().max_sent_bytes);
}

}  // namespace
}  // namespace lacewingknot
