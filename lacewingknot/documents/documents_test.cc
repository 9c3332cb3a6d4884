#include "lacewingknot/documents/documents.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "testing/fake_http.h"

namespace lacewingknot {
namespace {

using testing::FakeConnection;
using testing::FakeHttpServer;
using testing::FakeRequest;

class DocumentWatchTest : public ::testing::Test {
 protected:
  void RunUntil(const std::function<bool()>& done, Duration timeout) {
    const TimePoint end = BootClock::now() + timeout;
    while (!done() && BootClock::now() < end) {
      io_.run_one_for(std::chrono::milliseconds(20));
    }
    EXPECT_TRUE(done());
  }

  boost::asio::io_context io_;
  std::vector<std::shared_ptr<FakeConnection>> unanswered_;
  std::string document_;
};

// Guards against a poll that outlasts the wait that it asked for: a reply that
// never came held up a daemon's settings for 65 s.
TEST_F(DocumentWatchTest, Poll_NeverAnswered_IsRepeatedSoonAfterItsWait) {
  constexpr Duration kWait = std::chrono::seconds(1);
  int polls = 0;
  FakeHttpServer server(
      io_, {.handler = [&](const FakeRequest&,
                           const std::shared_ptr<FakeConnection>& connection) {
        if (++polls == 1) {
          unanswered_.push_back(connection);
          return;
        }
        connection->Reply({.status = 200,
                           .headers = {{"X-Revision", "2"}},
                           .body = "second"});
      }});
  DocumentWatch watch(io_,
                      {.name = "settings",
                       .address = "127.0.0.1:" + std::to_string(server.port()),
                       .clock = BootTimeClock(),
                       .held_revision = [] { return std::uint64_t{1}; },
                       .long_poll_wait = [&] { return kWait; },
                       .on_document = [&](const std::string& text,
                                          TimePoint) { document_ = text; },
                       .on_confirmed = [](std::uint64_t, TimePoint) {},
                       .on_poll_finished = [](bool) {}});
  watch.Start();
  RunUntil([&] { return document_ == "second"; },
           kWait + std::chrono::seconds(10));
}

}  // namespace
}  // namespace lacewingknot
