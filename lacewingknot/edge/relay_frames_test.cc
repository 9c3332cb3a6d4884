// Sends damaged relay frames over live connections.

#include <sys/resource.h>

#include <array>
#include <limits>
#include <random>

#include "lacewingknot/edge/relay_messages.h"
#include "lacewingknot/edge/relay_server.h"
#include "testing/edge_fixture.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

std::int64_t PeakMemoryKb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Returns `payload` with its length in front.
std::string Frame(const std::string& payload) {
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>(payload.size() >> shift);
  }
  return frame + payload;
}

class RelayFramesTest : public testing::EdgeFixture {
 protected:
  RelayFramesTest() : relay_({.core = &core_, .listen = "127.0.0.1:0"}) {
    EXPECT_TRUE(relay_.Listen().has_value());
  }

  static RelayAttemptRequest Request() {
    return {.query = 5,
            .head = "GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\n",
            .request_id = "id-1",
            .time_left_ms = 5'000,
            .mean_latency_us = 10'000,
            .top_records = 2,
            .attempts = {{.number = 1, .service = "a"}}};
  }

  // Whether another connection's attempt gets its part.
  void ExpectServed() {
    testing::RawClient entry(io_, relay_.port());
    entry.Write(EncodeRelayFrame(Request()));
    std::size_t consumed = 0;
    std::string received;
    std::size_t parts = 0;
    RunUntil([&] {
      received += entry.received().substr(consumed);
      consumed = entry.received().size();
      auto message = ExtractRelayFrame(received);
      while (message && message.value()) {
        parts += std::get<RelayResults>(*message.value()).results.size();
        message = ExtractRelayFrame(received);
      }
      return parts > 0;
    });
  }

  RelayServer relay_;
};

// Guards against a damaged frame that ends the process or stops other links.
TEST_F(RelayFramesTest, Frames_MutatedOnLiveLink_OtherLinksAreServed) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a"})});
  ApplyDirectory();
  std::mt19937 random(2065);
  const std::array<std::string, 4> frames{
      EncodeRelayFrame(Request()), EncodeRelayFrame(RelayAbandon{.query = 5}),
      EncodeRelayFrame(RelayStopNotice{}),
      EncodeRelayFrame(RelayResults{.query = 5, .results = {{.number = 1}}})};
  const std::int64_t before_kb = PeakMemoryKb();
  for (int round = 0; round < 300; ++round) {
    testing::RawClient entry(io_, relay_.port());
    std::string bytes = frames[random() % frames.size()];
    for (auto mutations = 1 + random() % 4; mutations > 0; --mutations) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    entry.Write(bytes + frames[0]);
    RunFor(milliseconds(2));
    entry.Close();
  }
  ExpectServed();
  constexpr std::int64_t kMaxGrowthKb = 64 << 10;
  EXPECT_LT(PeakMemoryKb() - before_kb, kMaxGrowthKb);
}

// Guards against memory taken by the lengths that nested arrays claim.
TEST_F(RelayFramesTest, Frame_ArraysClaimManyElements_MemoryStaysBounded) {
  constexpr int kArrays = 20'000;
  std::string payload;
  for (int i = 0; i < kArrays; ++i) {
    payload += std::string("\xdd\x00\x01\x00\x00", 5);
  }
  const std::int64_t before_kb = PeakMemoryKb();
  std::string received = Frame(payload);
  EXPECT_FALSE(ExtractRelayFrame(received).has_value());
  constexpr std::int64_t kMaxGrowthKb = 16 << 10;
  EXPECT_LT(PeakMemoryKb() - before_kb, kMaxGrowthKb);
}

// Guards against times from a peer that overflow.
TEST_F(RelayFramesTest, Request_ExtremeTimes_OtherLinksAreServed) {
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a"})});
  ApplyDirectory();
  for (const std::int64_t extreme :
       {std::numeric_limits<std::int64_t>::max(),
        std::numeric_limits<std::int64_t>::min()}) {
    testing::RawClient entry(io_, relay_.port());
    RelayAttemptRequest request = Request();
    request.time_left_ms = request.mean_latency_us = extreme;
    request.max_batch_delay_us = request.priority = extreme;
    entry.Write(EncodeRelayFrame(request));
    RunFor(milliseconds(20));
    ExpectServed();
  }
}

}  // namespace
}  // namespace lacewingknot::edge
