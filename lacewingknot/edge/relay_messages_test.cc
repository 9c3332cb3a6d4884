#include "lacewingknot/edge/relay_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lacewingknot::edge {
namespace {

template <typename Message>
Message RoundTrip(const Message& message) {
  std::string frame = EncodeRelayFrame(message);
  auto extracted = ExtractRelayFrame(frame);
  EXPECT_TRUE(extracted.has_value());
  EXPECT_TRUE(frame.empty());
  return std::get<Message>(*extracted.value());
}

TEST(RelayFrameTest, AttemptRequest_EncodedAndExtracted_IsEqual) {
  const RelayAttemptRequest request = RoundTrip(
      RelayAttemptRequest{.query = 7,
                          .head = "GET /s/1 HTTP/1.1\r\n",
                          .request_id = "id-1",
                          .time_left_ms = 350,
                          .mean_latency_us = 6'700,
                          .priority = 2,
                          .is_urgent = true,
                          .top_records = 20,
                          .max_batch_delay_us = 7'500,
                          .attempts = {{.number = 3,
                                        .service = "a",
                                        .kind = AttemptKind::kHedge,
                                        .is_mandatory = true,
                                        .returns_own_records = true}}});
  EXPECT_EQ(request.query, 7U);
  EXPECT_EQ(request.head, "GET /s/1 HTTP/1.1\r\n");
  EXPECT_EQ(request.request_id, "id-1");
  EXPECT_EQ(request.time_left_ms, 350);
  EXPECT_EQ(request.mean_latency_us, 6'700);
  EXPECT_EQ(request.priority, 2);
  EXPECT_TRUE(request.is_urgent);
  EXPECT_EQ(request.top_records, 20);
  EXPECT_EQ(request.max_batch_delay_us, 7'500);
  ASSERT_EQ(request.attempts.size(), 1U);
  EXPECT_EQ(request.attempts[0].number, 3U);
  EXPECT_EQ(request.attempts[0].service, "a");
  EXPECT_EQ(request.attempts[0].kind, AttemptKind::kHedge);
  EXPECT_TRUE(request.attempts[0].is_mandatory);
  EXPECT_TRUE(request.attempts[0].returns_own_records);
}

TEST(RelayFrameTest, Results_EncodedAndExtracted_AreEqual) {
  const std::string bytes("a\0\xff", 3);
  const RelayResults message =
      RoundTrip(RelayResults{.query = 9,
                             .results = {{.number = 4,
                                          .end = AttemptEnd::kLost,
                                          .status = 502,
                                          .cause = "answer_cut",
                                          .upstream = "up-1",
                                          .signature = "sig",
                                          .records = "own"}},
                             .records = bytes});
  EXPECT_EQ(message.query, 9U);
  ASSERT_EQ(message.results.size(), 1U);
  const RelayResult& result = message.results[0];
  EXPECT_EQ(result.number, 4U);
  EXPECT_EQ(result.end, AttemptEnd::kLost);
  EXPECT_EQ(result.status, 502);
  EXPECT_EQ(result.cause, "answer_cut");
  EXPECT_EQ(result.upstream, "up-1");
  EXPECT_EQ(result.signature, "sig");
  EXPECT_EQ(result.records, "own");
  EXPECT_EQ(message.records, bytes);
}

TEST(RelayFrameTest, Frames_ArriveByteByByte_AreExtractedInOrder) {
  const std::string all = EncodeRelayFrame(RelayAbandon{.query = 5}) +
                          EncodeRelayFrame(RelayStopNotice{});
  std::string received;
  std::vector<RelayMessage> extracted;
  for (const char byte : all) {
    received += byte;
    auto message = ExtractRelayFrame(received);
    ASSERT_TRUE(message.has_value());
    if (message.value()) extracted.push_back(*std::move(message.value()));
  }
  ASSERT_EQ(extracted.size(), 2U);
  EXPECT_EQ(std::get<RelayAbandon>(extracted[0]).query, 5U);
  EXPECT_TRUE(std::holds_alternative<RelayStopNotice>(extracted[1]));
}

TEST(RelayFrameTest, Frame_TooLong_IsRejected) {
  std::string received("\xff\xff\xff\xff", 4);
  EXPECT_EQ(ExtractRelayFrame(received).error().type, ErrorType::kPeerProtocol);
}

// Guards against frames that take many times their size when decoded.
TEST(RelayFrameTest, Frame_OfManySmallObjects_IsRejectedBeforeDecoding) {
  constexpr std::size_t kObjects = 1 << 20;
  std::string received("\x00\x10\x00\x05\xdd\x00\x10\x00\x00", 9);
  received += std::string(kObjects, '\xc0');
  const auto extracted = ExtractRelayFrame(received);
  ASSERT_FALSE(extracted.has_value());
  EXPECT_EQ(extracted.error().detail, "more objects than a message can have");
}

TEST(RelayFrameTest, Frame_ClaimingArrayWithoutItems_IsRejected) {
  std::string received("\x00\x00\x00\x05\xdd\xff\xff\xff\xff", 9);
  const auto extracted = ExtractRelayFrame(received);
  ASSERT_FALSE(extracted.has_value());
  EXPECT_EQ(extracted.error().detail, "more objects than a message can have");
}

TEST(RelayFrameTest, Attempt_UnknownKind_IsRejected) {
  std::string frame = EncodeRelayFrame(
      RelayAttemptRequest{.attempts = {{.kind = static_cast<AttemptKind>(9)}}});
  EXPECT_EQ(ExtractRelayFrame(frame).error().type, ErrorType::kPeerProtocol);
}

RC_GTEST_PROP(RelayFrameProperty, Frame_AnyBytes_IsExtractedOrRejected,
              (const std::string& bytes)) {
  std::string frame(3, '\0');
  frame += static_cast<char>(bytes.size());
  frame += bytes;
  (void)ExtractRelayFrame(frame);
}

TEST(InternCauseTest, Cause_FromPeer_ReturnsLiteral) {
  EXPECT_EQ(InternCause(std::string("connection_lost")), "connection_lost");
  EXPECT_EQ(InternCause(std::string("anything")), "other");
}

}  // namespace
}  // namespace lacewingknot::edge
