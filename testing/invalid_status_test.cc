// Tests that an answer whose status is not three digits from 100 to 599 is
// dropped, counted and passed on nowhere, on every path that reads a status.

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <ostream>
#include <thread>

#include "lacewingknot/edge/relay_link.h"
#include "lacewingknot/edge/relay_messages.h"
#include "lacewingknot/http/client.h"
#include "platform/store_reader.h"
#include "testing/edge_fixture.h"

namespace lacewingknot {
namespace {

namespace asio = boost::asio;
using edge::AttemptEnd;
using std::chrono::milliseconds;
using testing::FakeConnection;
using testing::FakeRequest;

using ConnectionRef = const std::shared_ptr<FakeConnection>&;

struct StatusCase {
  const char* name;
  const char* text;  // In the place of the status.

  friend std::ostream& operator<<(std::ostream& out, const StatusCase& status) {
    return out << '"' << status.text << '"';
  }
};

// An answer with `status` to request `id` that is complete and signed.
std::string AnswerWith(std::string_view status, const std::string& id) {
  return "HTTP/1.1 " + std::string(status) + " Reason\r\nX-Id: " + id +
         "\r\nX-Signature: sig\r\nContent-Length: 4\r\n\r\nbody";
}

class InvalidStatusTest : public testing::EdgeFixture {
 protected:
  Handler RepliesWithStatus(std::string status) {
    return [status = std::move(status)](const FakeRequest& request,
                                        ConnectionRef at) {
      at->ReplyRaw(AnswerWith(status, request.header("X-Id")), false);
    };
  }

  // Whether an answer was counted as dropped for its status.
  bool HasDroppedAnswer() const {
    return metrics_.Render().find(R"(reason="invalid_status")") !=
           std::string::npos;
  }

  Result<HttpReply> Call(const std::string& raw_answer) {
    testing::FakeHttpServer server(
        io_, {.handler = [&](const FakeRequest&, ConnectionRef at) {
          at->ReplyRaw(raw_answer, false);
        }});
    const auto connection = HttpConnection::Create(
        io_, {asio::ip::address_v4::loopback(), server.port()}, {});
    std::optional<Result<HttpReply>> reply;
    connection->Connect([&](const Result<void>&) {
      connection->Exchange(
          {.method = "GET", .target = "/"},
          [&](Result<HttpReply> result) { reply.emplace(std::move(result)); });
    });
    RunUntil([&] { return reply.has_value(); });
    connection->Close();
    server.CloseAll();
    return *reply;
  }
};

class InvalidStatusTextTest : public InvalidStatusTest,
                              public ::testing::WithParamInterface<StatusCase> {
};

INSTANTIATE_TEST_SUITE_P(
    Statuses, InvalidStatusTextTest,
    ::testing::Values(
        StatusCase{"Zero", "000"}, StatusCase{"Below", "099"},
        StatusCase{"Above", "600"}, StatusCase{"Highest", "999"},
        StatusCase{"OneDigit", "2"}, StatusCase{"TwoDigits", "20"},
        StatusCase{"FourDigits", "2000"}, StatusCase{"LeadingZero", "0200"},
        StatusCase{"Plus", "+20"}, StatusCase{"Minus", "-20"},
        StatusCase{"Blank", " 20"}, StatusCase{"BlankInside", "2 0"},
        StatusCase{"Letter", "2o0"}, StatusCase{"OtherProtocol", "101"}),
    [](const auto& status) { return std::string(status.param.name); });

TEST_P(InvalidStatusTextTest, Answer_MayNotRunAgain_Is502) {
  AddUpstream("s", RepliesWithStatus(GetParam().text));
  ApplyRoutes({PassRoute("s", edge::RetryPolicy::kAtMostOnce)});
  EXPECT_EQ(SendRequest("/p/1").status, 502);
  EXPECT_EQ(upstreams_[0].requests.size(), 1U);
  EXPECT_TRUE(HasDroppedAnswer());
}

TEST_P(InvalidStatusTextTest, Answer_MayRunAgain_IsThatOfAnotherReplica) {
  AddUpstream("s", RepliesWithStatus(GetParam().text));
  AddUpstream("s", RepliesWith("body"));
  ApplyRoutes({PassRoute("s", edge::RetryPolicy::kIdempotent)});
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(SendRequest("/p/1", "id-" + std::to_string(i)).status, 200);
  }
  EXPECT_FALSE(upstreams_[0].requests.empty());
  EXPECT_TRUE(HasDroppedAnswer());
}

TEST_P(InvalidStatusTextTest, AnswerOfShard_IsNoPart) {
  AddUpstream("a", RepliesWithStatus(GetParam().text));
  AddUpstream("b", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a", "b"})});
  const HttpReply reply = SendRequest("/s/1");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.header("X-Missing"), "1");
  EXPECT_EQ(reply.body, MakeRecord('k'));
  EXPECT_TRUE(HasDroppedAnswer());
}

// The query role's upstreams and the store are called by this class.
TEST_P(InvalidStatusTextTest, ReplyToHttpConnection_IsMalformed) {
  const auto reply = Call(AnswerWith(GetParam().text, "1"));
  ASSERT_FALSE(reply.has_value());
  EXPECT_EQ(reply.error().type, ErrorType::kMalformedAnswer);
}

// A server on a thread of its own, for clients that block.
class RawServer {
 public:
  explicit RawServer(std::string answer)
      : server_(io_, {.handler =
                          [answer = std::move(answer)](const FakeRequest&,
                                                       ConnectionRef at) {
                            at->ReplyRaw(answer, false);
                          }}),
        thread_([this] { io_.run(); }) {}
  ~RawServer() {
    io_.stop();
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }

 private:
  asio::io_context io_;
  testing::FakeHttpServer server_;
  std::thread thread_;
};

TEST_P(InvalidStatusTextTest, ReplyToHttpClient_IsFailure) {
  const RawServer server(AnswerWith(GetParam().text, "1"));
  const auto reply = HttpClient(server.address(), std::chrono::seconds(1))
                         .SendAndWait("GET", "/", "");
  ASSERT_FALSE(reply.has_value());
  EXPECT_EQ(reply.error().type, ErrorType::kPlatformUnavailable);
}

TEST_P(InvalidStatusTextTest, AnswerOfStore_IsFailedCall) {
  const RawServer server(AnswerWith(GetParam().text, "1"));
  struct Calls {
    std::mutex mutex;
    std::string first;
  };
  const auto calls = std::make_shared<Calls>();
  // Never deleted: its thread runs until the process ends.
  auto* reader =
      new platform::StoreReader({.address = server.address(),
                                 .on_routes = [](const auto&) {},
                                 .on_directory = [](const auto&) {},
                                 .on_call =
                                     [calls](std::string_view outcome) {
                                       const std::lock_guard lock(calls->mutex);
                                       if (calls->first.empty()) {
                                         calls->first = outcome;
                                       }
                                     },
                                 .on_confirmed = [](const StoreReport&) {},
                                 .fleet_size = [] { return std::size_t{0}; },
                                 .is_sentinel = [] { return false; }});
  reader->Start();
  RunUntil([&] {
    const std::lock_guard lock(calls->mutex);
    return !calls->first.empty();
  });
  const std::lock_guard lock(calls->mutex);
  EXPECT_EQ(calls->first, "failed");
}

// A relay whose frames hold any status.
class InvalidStatusRelayTest : public InvalidStatusTest,
                               public ::testing::WithParamInterface<int> {
 protected:
  void Serve(int status) {
    acceptor_.async_accept([this, status](boost::system::error_code error,
                                          asio::ip::tcp::socket socket) {
      if (error) return;
      socket_.emplace(std::move(socket));
      socket_->async_read_some(
          asio::buffer(chunk_),
          [this, status](boost::system::error_code read_error, std::size_t) {
            if (read_error) return;
            asio::write(*socket_,
                        asio::buffer(edge::EncodeRelayFrame(edge::RelayResults{
                            .query = 1,
                            .results = {{.number = 1,
                                         .end = AttemptEnd::kAnswered,
                                         .status = status,
                                         .signature = "sig",
                                         .records = "r"}}})));
          });
    });
  }

  asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  std::optional<asio::ip::tcp::socket> socket_;
  std::array<char, 4096> chunk_{};
};

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusRelayTest,
                         ::testing::Values(-200, 0, 99, 100, 101, 600, 999,
                                           2'000));

TEST_P(InvalidStatusRelayTest, ResultOfRelay_IsLostAndReported) {
  Serve(GetParam());
  edge::TimerQueue timers(io_);
  std::string dropped_for;
  const auto link = std::make_shared<edge::RelayLink>(edge::RelayLink::Options{
      .io = &io_,
      .timers = &timers,
      .address =
          "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()),
      .on_answer_dropped = [&](std::string_view, std::string_view cause,
                               std::size_t) { dropped_for = cause; }});
  link->Open();
  RunUntil([&] { return link->is_usable(BootClock::now()); });
  const auto attempt = std::make_shared<edge::Attempt>();
  attempt->request = std::make_shared<edge::OutboundRequest>();
  std::optional<edge::AttemptResult> result;
  attempt->on_done = [&](edge::AttemptResult done) {
    result.emplace(std::move(done));
  };
  ASSERT_EQ(link->AddAttempt(attempt), 1U);
  link->SetBatchCallback(
      1,
      [](const std::string&, const AnswerBudget::Reservation&,
         const std::function<void()>& finish_attempts) { finish_attempts(); });
  link->SendRequest({.query = 1, .attempts = {{.number = 1}}},
                    BootClock::now());
  RunUntil([&] { return result.has_value(); });
  EXPECT_EQ(result->end, AttemptEnd::kLost);
  EXPECT_EQ(result->cause, edge::kCauseInvalidStatus);
  EXPECT_EQ(result->reply.status, 0);
  EXPECT_TRUE(result->reply.signature.empty());
  EXPECT_EQ(dropped_for, edge::kCauseInvalidStatus);
  link->Close();
}

TEST_F(InvalidStatusTest, InterimAnswers_BeforeAnswer_AreSkipped) {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n";
  AddUpstream("s", [&](const FakeRequest& request, ConnectionRef at) {
    at->ReplyRaw(interim + AnswerWith("200", request.header("X-Id")), false);
  });
  ApplyRoutes({PassRoute("s", edge::RetryPolicy::kAtMostOnce)});
  EXPECT_EQ(SendRequest("/p/1").status, 200);
  const auto reply = Call(interim + AnswerWith("200", "1"));
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply.value().status, 200);
  EXPECT_EQ(reply.value().body, "body");
}

// Guards against the body of an answer that can have none being taken for the
// answer to the next request.
TEST_F(InvalidStatusTest, AnswersWithoutBody_SentWithOne_EndThere) {
  std::string status;
  AddUpstream("s", [&](const FakeRequest& request, ConnectionRef at) {
    at->ReplyRaw(AnswerWith(status, request.header("X-Id")), false);
  });
  ApplyRoutes({PassRoute("s", edge::RetryPolicy::kAtMostOnce)});
  for (const char* bodiless : {"204", "304"}) {
    status = bodiless;
    const HttpReply reply = SendRequest("/p/1", "first");
    EXPECT_EQ(std::to_string(reply.status), bodiless);
    EXPECT_EQ(reply.body, "");
    status = "200";
    const HttpReply next = SendRequest("/p/1", "second");
    EXPECT_EQ(next.status, 200);
    EXPECT_EQ(next.body, "body");
  }
}

TEST_F(InvalidStatusTest, Statuses_LowestAndHighest_ArePassedOn) {
  std::string status;
  AddUpstream("s", [&](const FakeRequest& request, ConnectionRef at) {
    at->ReplyRaw(AnswerWith(status, request.header("X-Id")), false);
  });
  ApplyRoutes({PassRoute("s", edge::RetryPolicy::kAtMostOnce)});
  for (const char* valid : {"200", "299", "404", "599"}) {
    status = valid;
    EXPECT_EQ(std::to_string(SendRequest("/p/1").status), valid);
    const auto reply = Call(AnswerWith(valid, "1"));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(std::to_string(reply.value().status), valid);
  }
}

}  // namespace
}  // namespace lacewingknot
