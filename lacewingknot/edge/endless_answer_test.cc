// Tests upstreams that send bytes without end instead of a complete answer: the
// daemon must end the request and close the connection.

#include <malloc.h>

#include <algorithm>
#include <memory>

#include "testing/edge_fixture.h"
#include "testing/endless_server.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;
using testing::EndlessAnswer;
using testing::EndlessServer;

// Allowance for the buffers of both sockets, which fill in addition to what the
// daemon reads.
constexpr std::size_t kSocketBufferBytes = 8 << 20;
constexpr std::size_t kMaxAnswerBytes = 8 << 20;

std::string Lines(std::string_view line) {
  std::string lines;
  while (lines.size() < 16'000) lines += line;
  return lines;
}

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

// Measures the memory that the process holds while faulty upstreams or relays
// send.
class HeldMemoryTest : public testing::EdgeFixture {
 protected:
  // Of 128 MB, the smallest VM, without what the process needs otherwise.
  static constexpr std::size_t kMaxHeapGrowth = 64 << 20;

  void StartMeasuring() { heap_before_ = HeapBytes(); }
  // Runs until `done`, and records the most memory that the process held.
  void RunAndMeasureUntil(const std::function<bool()>& done) {
    RunUntil([&] {
      heap_peak_ = std::max(heap_peak_, HeapBytes());
      return done();
    });
  }
  std::size_t HeapGrowth() const {
    return heap_peak_ - std::min(heap_peak_, heap_before_);
  }

 private:
  static std::size_t HeapBytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }

  std::size_t heap_before_ = 0;
  std::size_t heap_peak_ = 0;
};

// Many faulty upstreams at once, asked as the shards of one query.
class ManyEndlessAnswersTest : public HeldMemoryTest {
 protected:
  static constexpr std::size_t kUpstreams = 24;

  // Starts a query whose shards are one proper upstream and kUpstreams that
  // send `answer`.
  void StartQuery(const EndlessAnswer& answer) {
    std::vector<std::string> shards{"proper"};
    AddUpstream("proper", RepliesWith(MakeRecord('k')));
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      endless_.push_back(std::make_shared<EndlessServer>(io_, answer));
      endless_.back()->Start();
      shards.push_back("endless-" + std::to_string(i));
      AddUpstream(shards.back(), NeverReplies()).record.address =
          "127.0.0.1:" + std::to_string(endless_.back()->port());
    }
    AddUpstream("other", RepliesWith(std::string(kOrdinaryBytes, 'o')));
    RouteSpec scatter = ScatterRoute(shards);
    scatter.min_coverage = 0.01;
    scatter.target_latency = milliseconds(1'400);
    ApplyRoutes({scatter, PassRoute("other", RetryPolicy::kAtMostOnce)});
    StartMeasuring();
    client_.Write(
        "GET /s/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: q\r\n"
        "X-Left: 1500\r\n\r\n");
  }

  bool AllClosed() const {
    return std::all_of(endless_.begin(), endless_.end(),
                       [](const auto& server) { return server->closed(); });
  }

  static constexpr std::size_t kOrdinaryBytes = 100'000;
  std::vector<std::shared_ptr<EndlessServer>> endless_;
  testing::RawClient client_{io_, server_.port()};
};

// Guards against answers that are each allowed but together exceed a VM.
TEST_F(ManyEndlessAnswersTest, Answers_StalledBeforeTheirEnd_FitIntoMemory) {
  constexpr std::size_t kJustAllowedBytes = 7 << 20;
  StartQuery({.name = "Stalled",
              .begin = "HTTP/1.1 200 OK\r\n\r\n",
              .repeat = std::string(16'000, 'x'),
              .stall_after = kJustAllowedBytes});
  const TimePoint end = BootClock::now() + milliseconds(1'000);
  RunAndMeasureUntil([&] { return BootClock::now() >= end; });
  const HttpReply other = SendRequest("/p/1", "other");
  EXPECT_EQ(other.status, 200);
  EXPECT_EQ(other.body.size(), kOrdinaryBytes);
  RunAndMeasureUntil([&] { return AllClosed(); });
  EXPECT_LE(HeapGrowth(), kMaxHeapGrowth);
  EXPECT_EQ(client_.received().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against lost answers whose bytes stay in memory.
TEST_F(ManyEndlessAnswersTest, Answers_WithoutEnd_FitIntoMemory) {
  StartQuery({.name = "Endless",
              .begin = "HTTP/1.1 200 OK\r\n\r\n",
              .repeat = std::string(16'000, 'x')});
  RunAndMeasureUntil([&] { return AllClosed(); });
  EXPECT_LE(HeapGrowth(), kMaxHeapGrowth);
}

// Guards against reading on after a whole answer.
TEST_F(HeldMemoryTest, Bytes_AfterWholeAnswer_CloseConnection) {
  const auto server = std::make_shared<EndlessServer>(
      io_,
      EndlessAnswer{.name = "AfterAnswer",
                    .begin = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n"
                             "X-Signature: s\r\nContent-Length: 1\r\n\r\nx",
                    .repeat = std::string(16'000, '#')});
  server->Start();
  AddUpstream("s", NeverReplies()).record.address =
      "127.0.0.1:" + std::to_string(server->port());
  ApplyRoutes({PassRoute("s", RetryPolicy::kAtMostOnce)});
  const HttpReply reply = SendRequest("/p/1");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "x");
  RunUntil([&] { return server->closed(); });
  EXPECT_LE(server->sent(), kSocketBufferBytes);
}

// Guards against relays whose frames are each allowed but together exceed a VM.
TEST_F(HeldMemoryTest, Relays_FramesStalledBeforeTheirEnd_FitIntoMemory) {
  constexpr std::size_t kRelays = 12;
  const EndlessAnswer frame{.name = "Frame",
                            .begin = std::string("\0\xff\xff\xff", 4),
                            .repeat = std::string(16'000, 'x'),
                            .stall_after = 15 << 20,
                            .is_unasked = true};
  std::vector<std::shared_ptr<EndlessServer>> relays;
  std::vector<RelayCandidate> candidates;
  for (std::size_t i = 0; i < kRelays; ++i) {
    relays.push_back(std::make_shared<EndlessServer>(io_, frame));
    relays.back()->Start();
    candidates.push_back(
        {.address = "127.0.0.1:" + std::to_string(relays.back()->port()),
         .processor_share = 1});
  }
  AddUpstream("a", RepliesWith(MakeRecord('k')));
  ApplyRoutes({ScatterRoute({"a"})});
  StartMeasuring();
  core_.set_members({{"here", candidates}}, "127.0.0.1:9999");
  const TimePoint end = BootClock::now() + milliseconds(1'500);
  RunAndMeasureUntil([&] { return BootClock::now() >= end; });
  EXPECT_LE(HeapGrowth(), kMaxHeapGrowth);
  const auto connected =
      std::count_if(relays.begin(), relays.end(),
                    [](const auto& relay) { return relay->sent() > 0; });
  EXPECT_GE(connected, 6);
}

}  // namespace
}  // namespace lacewingknot::edge
