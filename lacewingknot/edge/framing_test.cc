// Tests where the edge takes messages to end (RFC 9112, sections 5 to 7): a
// message whose end is not certain is refused, and its connection is closed.

#include "lacewingknot/edge/client_connection.h"
#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using testing::FakeConnection;
using testing::FakeRequest;
using testing::RawClient;

std::size_t CountOf(std::string_view part, std::string_view text) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// A message: header lines after the first ones, and what follows the head.
struct Framing {
  std::string_view name;
  std::string_view headers;
  std::string_view rest;
  std::string_view version = "HTTP/1.1";
};

void PrintTo(const Framing& framing, std::ostream* to) { *to << framing.name; }

std::string NameOf(const ::testing::TestParamInfo<Framing>& info) {
  return std::string(info.param.name);
}

constexpr std::string_view kChunks = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
constexpr std::string_view kChunked = "Transfer-Encoding: chunked\r\n";

// Messages with the body "abcde".
auto FramedMessages() {
  return ::testing::Values(
      Framing{"Length", "Content-Length: 5\r\n", "abcde"},
      Framing{"EqualLengths", "Content-Length: 5\r\nContent-Length: 5\r\n",
              "abcde"},
      Framing{"EqualLengthsInAList", "Content-Length: 5, 5\r\n", "abcde"},
      Framing{"Chunked", kChunked, kChunks},
      Framing{"ChunkedInCapitals", "Transfer-Encoding: CHUNKED\r\n", kChunks},
      Framing{"ChunkedAfterFold", "Transfer-Encoding:\r\n chunked\r\n",
              kChunks},
      Framing{"ChunkSizeWithZeros", kChunked, "0005\r\nabcde\r\n000\r\n\r\n"},
      Framing{"ChunkExtension", kChunked,
              "5;a=\"b;c\"\r\nabcde\r\n0;d\r\n\r\n"},
      Framing{"FoldedHeader", "X-Fold: a\r\n b\r\nContent-Length: 5\r\n",
              "abcde"},
      Framing{"Trailers", kChunked,
              "5\r\nabcde\r\n0\r\nX-Id: id-2\r\nX-Not-Run: 1\r\n"
              "X-Signature: t\r\nX-Trailer: t\r\n\r\n"});
}

// Messages that do not tell where their body ends, for clients and upstreams.
auto UnframedMessages() {
  return ::testing::Values(
      Framing{"DifferentLengths", "Content-Length: 5\r\nContent-Length: 4\r\n",
              "abcde"},
      Framing{"DifferentLengthsInAList", "Content-Length: 5, 4\r\n", "abcde"},
      Framing{"EmptyLength", "Content-Length:\r\n", "abcde"},
      Framing{"LengthWithSign", "Content-Length: +5\r\n", "abcde"},
      Framing{"NegativeLength", "Content-Length: -5\r\n", "abcde"},
      Framing{"LengthInHex", "Content-Length: 0x5\r\n", "abcde"},
      Framing{"LengthWithBlank", "Content-Length: 5 0\r\n", "abcde"},
      Framing{"LengthBeyond64Bits", "Content-Length: 18446744073709551621\r\n",
              "abcde"},
      Framing{"LengthBeforeChunked",
              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", kChunks},
      Framing{"LengthAfterChunked",
              "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", kChunks},
      Framing{"LengthBesideIdentity",
              "Transfer-Encoding: identity\r\nContent-Length: 5\r\n", "abcde"},
      Framing{"Identity", "Transfer-Encoding: identity\r\n", "abcde"},
      Framing{"UnknownCoding", "Transfer-Encoding: gzip\r\n", "abcde"},
      Framing{"EmptyCoding", "Transfer-Encoding:\r\n", "abcde"},
      Framing{"ChunkedNotLast", "Transfer-Encoding: chunked, identity\r\n",
              kChunks},
      Framing{"ChunkedTwice", "Transfer-Encoding: chunked, chunked\r\n",
              kChunks},
      Framing{"ChunkedTwiceInTwoLines",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
              kChunks},
      Framing{"IdentityThenChunkedInTwoLines",
              "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
              kChunks},
      Framing{"ChunkedWithParameter", "Transfer-Encoding: chunked;q=1\r\n",
              kChunks},
      Framing{"ChunkedAndWord", "Transfer-Encoding: chunked identity\r\n",
              kChunks},
      Framing{"ChunkedQuoted", "Transfer-Encoding: \"chunked\"\r\n", kChunks},
      Framing{"ChunkedInHttp10", kChunked, kChunks, "HTTP/1.0"},
      Framing{"ChunkSizeWithSign", kChunked, "+5\r\nabcde\r\n0\r\n\r\n"},
      Framing{"NegativeChunkSize", kChunked, "-5\r\nabcde\r\n0\r\n\r\n"},
      Framing{"ChunkSizeAfterBlank", kChunked, " 5\r\nabcde\r\n0\r\n\r\n"},
      Framing{"ChunkSizeBeforeBlank", kChunked, "5 \r\nabcde\r\n0\r\n\r\n"},
      Framing{"ChunkSizeWithHexPrefix", kChunked, "0x5\r\nabcde\r\n0\r\n\r\n"},
      Framing{"ChunkSizeBeyond64Bits", kChunked,
              "10000000000000005\r\nabcde\r\n0\r\n\r\n"},
      Framing{"ChunkSizeMissing", kChunked, "\r\nabcde\r\n0\r\n\r\n"},
      Framing{"ChunkLongerThanItsSize", kChunked, "4\r\nabcde\r\n0\r\n\r\n"},
      Framing{"BareLfAfterChunkSize", kChunked, "5\nabcde\r\n0\r\n\r\n"},
      Framing{"BareCrAfterChunkSize", kChunked, "5\rabcde\r\n0\r\n\r\n"},
      Framing{"BareLfInChunkExtension", kChunked,
              "5;a=\"\n\"\r\nabcde\r\n0\r\n\r\n"},
      Framing{"BareLfAfterHeader", "X-Other: a\nContent-Length: 5\r\n",
              "abcde"},
      Framing{"BareCrInHeader", "X-Other: a\rb\r\nContent-Length: 5\r\n",
              "abcde"},
      Framing{"BlankBeforeColon", "Content-Length : 5\r\n", "abcde"},
      Framing{"TabBeforeColon", "Transfer-Encoding\t: chunked\r\n", kChunks},
      Framing{"LengthInTrailer", kChunked,
              "5\r\nabcde\r\n0\r\nContent-Length: 5\r\n\r\n"});
}

class RequestFramingTest : public testing::EdgeFixture,
                           public ::testing::WithParamInterface<Framing> {
 protected:
  void SetUp() override {
    upstream_ = &AddUpstream("s", RepliesWith("x"));
    ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  }

  bool IsCounted(std::string_view cause) const {
    return metrics_.Render().find("rejected_requests_total{cause=\"" +
                                  std::string(cause) + "\"} 1") !=
           std::string::npos;
  }

  // Sends a request of this framing and a plain one behind it. Returns the
  // bytes received until the connection closes.
  std::string Exchange() {
    const Framing& framing = GetParam();
    RawClient client(io_, server_.port());
    client.Write("POST /p/1 " + std::string(framing.version) +
                 "\r\nHost: h.example\r\nX-Id: id-1\r\n" +
                 std::string(framing.headers) + "\r\n" +
                 std::string(framing.rest) +
                 "GET /p/next HTTP/1.1\r\nHost: h.example\r\nX-Id: id-3\r\n"
                 "Connection: close\r\n\r\n");
    RunUntil([&] { return client.closed(); });
    return client.received();
  }

  ScriptedUpstream* upstream_ = nullptr;
};

class FramedRequestTest : public RequestFramingTest {};
INSTANTIATE_TEST_SUITE_P(Messages, FramedRequestTest, FramedMessages(), NameOf);

// Guards against taking a trailer for a header: it could replace the request's
// id.
TEST_P(FramedRequestTest, Request_EndsWhereItsFramingSays) {
  EXPECT_EQ(CountOf("HTTP/1.1 200 ", Exchange()), 2U);
  ASSERT_EQ(upstream_->requests.size(), 2U);
  EXPECT_EQ(upstream_->requests[0].body, "abcde");
  EXPECT_EQ(upstream_->requests[0].header("X-Id"), "id-1");
  EXPECT_EQ(upstream_->requests[0].header("X-Trailer"), "");
  EXPECT_EQ(upstream_->requests[1].path, "/p/next");
}

class UnframedRequestTest : public RequestFramingTest {};
INSTANTIATE_TEST_SUITE_P(Messages, UnframedRequestTest, UnframedMessages(),
                         NameOf);

// Guards against taking a body for the next request on the connection.
TEST_P(UnframedRequestTest, Request_IsRefusedOnceAndConnectionClosed) {
  const std::string received = Exchange();
  EXPECT_EQ(CountOf("HTTP/1.1 ", received), 1U) << received;
  EXPECT_EQ(received.substr(0, 13), "HTTP/1.1 400 ");
  EXPECT_TRUE(IsCounted("body_end_unknown") || IsCounted("malformed_request"));
  EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ(upstream_->requests.size(), 0U);
}

class UnknownCodingTest : public RequestFramingTest {};
INSTANTIATE_TEST_SUITE_P(
    Messages, UnknownCodingTest,
    ::testing::Values(Framing{"GzipThenChunked",
                              "Transfer-Encoding: gzip, chunked\r\n", kChunks},
                      Framing{"IdentityThenChunked",
                              "Transfer-Encoding: identity, chunked\r\n",
                              kChunks}),
    NameOf);

// Guards against passing on a compressed body without the header that says so.
TEST_P(UnknownCodingTest, Request_IsNotImplemented) {
  const std::string received = Exchange();
  EXPECT_EQ(CountOf("HTTP/1.1 ", received), 1U) << received;
  EXPECT_EQ(received.substr(0, 13), "HTTP/1.1 501 ");
  EXPECT_TRUE(IsCounted("unknown_transfer_coding"));
  EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ(upstream_->requests.size(), 0U);
}

class RejectedBodyTest : public RequestFramingTest {};
INSTANTIATE_TEST_SUITE_P(Messages, RejectedBodyTest,
                         ::testing::Values(Framing{
                             "Long", "Content-Length: 90\r\n",
                             "X-Id: id-2\r\n\r\nand more"}),
                         NameOf);

// Guards against reading the body of a refused request as header lines.
TEST_P(RejectedBodyTest, Body_BeyondLimitSentWithHead_IsTooLarge) {
  client_limits_.body_bytes = 64;
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  EXPECT_EQ(Exchange().substr(0, 13), "HTTP/1.1 413 ");
}

class AnswerFramingTest : public testing::EdgeFixture,
                          public ::testing::WithParamInterface<Framing> {
 protected:
  // Returns the answer to a request whose upstream answers with this framing,
  // and then closes the connection if `close` is set.
  HttpReply Answer(bool close) {
    AddUpstream("s", [this, close](const FakeRequest&,
                                   const std::shared_ptr<FakeConnection>& at) {
      const Framing& framing = GetParam();
      connections_.push_back(at);
      at->ReplyRaw(std::string(framing.version) +
                       " 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\n" +
                       std::string(framing.headers) + "\r\n" +
                       std::string(framing.rest),
                   close);
    });
    ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
    return SendRequest("/p/1", "id-1");
  }

  std::vector<std::shared_ptr<FakeConnection>> connections_;
};

class FramedAnswerTest : public AnswerFramingTest {};
INSTANTIATE_TEST_SUITE_P(Messages, FramedAnswerTest, FramedMessages(), NameOf);

// Guards against taking a trailer for a header: it could state that the request
// did not run.
TEST_P(FramedAnswerTest, Answer_EndsWhereItsFramingSays) {
  const HttpReply reply = Answer(/*close=*/false);
  EXPECT_EQ(reply.status, kStatusOk);
  EXPECT_EQ(reply.body, "abcde");
  EXPECT_EQ(reply.header("X-Id"), "id-1");
  EXPECT_EQ(reply.header("X-Signature"), "s");
  EXPECT_EQ(reply.header("X-Trailer"), "");
}

class UnframedAnswerTest : public AnswerFramingTest {};
INSTANTIATE_TEST_SUITE_P(Messages, UnframedAnswerTest, UnframedMessages(),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(
    OfUpstreams, UnframedAnswerTest,
    ::testing::Values(Framing{"GzipThenChunked",
                              "Transfer-Encoding: gzip, chunked\r\n", kChunks},
                      Framing{"IdentityThenChunked",
                              "Transfer-Encoding: identity, chunked\r\n",
                              kChunks}),
    NameOf);

// Guards against passing on the beginning or the coded form of a body as the
// whole of it.
TEST_P(UnframedAnswerTest, Answer_IsLostAndConnectionClosed) {
  const HttpReply reply = Answer(/*close=*/false);
  EXPECT_EQ(reply.status, kStatusBadGateway);
  EXPECT_EQ(reply.header("X-Signature"), "");
  EXPECT_EQ(reply.body, "");
  // The next request needs another connection.
  SendRequest("/p/1", "id-2");
  ASSERT_EQ(connections_.size(), 2U);
  EXPECT_NE(connections_[0], connections_[1]);
}

TEST_P(UnframedAnswerTest, Answer_EndingWithItsConnection_IsLost) {
  const HttpReply reply = Answer(/*close=*/true);
  EXPECT_EQ(reply.status, kStatusBadGateway);
  EXPECT_EQ(reply.header("X-Signature"), "");
  EXPECT_EQ(reply.body, "");
}

}  // namespace
}  // namespace lacewingknot::edge
