#include "lacewingknot/peer/message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lacewingknot {
namespace {

PeerEnvelope SampleEnvelope() {
  RelayRequest body;
  body.items.push_back({.attempt = 7, .upstream = "u", .shard = "s"});
  return {.kind = static_cast<std::uint32_t>(PeerMessageKind::kRelayRequest),
          .from = "vm-1",
          .reply_to = "127.0.0.1:1",
          .correlation = 9,
          .body = EncodePeerBody(body)};
}

TEST(PeerMessageTest, Envelope_Whole_RoundTrips) {
  const auto decoded = DecodeEnvelope(EncodeEnvelope(SampleEnvelope()));
  ASSERT_TRUE(decoded);
  const auto body = DecodePeerBody<RelayRequest>(decoded.value().body);
  ASSERT_TRUE(body);
  EXPECT_EQ(body.value().items.at(0).attempt, 7U);
}

TEST(PeerMessageTest, Envelope_OtherProtocolVersion_IsRefused) {
  PeerEnvelope envelope = SampleEnvelope();
  envelope.protocol = kPeerProtocolVersion + 1;
  EXPECT_EQ(DecodeEnvelope(EncodeEnvelope(envelope)).error().type,
            ErrorType::kPeerProtocol);
}

TEST(PeerMessageTest, Envelope_UnknownKind_IsRefused) {
  PeerEnvelope envelope = SampleEnvelope();
  envelope.kind = 99;
  EXPECT_FALSE(DecodeEnvelope(EncodeEnvelope(envelope)));
}

TEST(PeerMessageTest, Body_OfAnotherKind_IsRefused) {
  EXPECT_FALSE(DecodePeerBody<ExchangeReply>(SampleEnvelope().body));
}

RC_GTEST_PROP(PeerMessageProperty, Envelope_Truncated_IsRefused, ()) {
  const std::string whole = EncodeEnvelope(SampleEnvelope());
  const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
  RC_ASSERT(!DecodeEnvelope(whole.substr(0, size)));
}

RC_GTEST_PROP(PeerMessageProperty, Garbage_AnyBytes_NeverCrashes,
              (const std::string& bytes)) {
  static_cast<void>(DecodeEnvelope(bytes));
  static_cast<void>(DecodePeerBody<RelayRequest>(bytes));
  static_cast<void>(DecodePeerBody<ExchangeRequest>(bytes));
}

RC_GTEST_PROP(PeerMessageProperty, Envelope_OneByteChanged_NeverCrashes, ()) {
  std::string bytes = EncodeEnvelope(SampleEnvelope());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  const auto decoded = DecodeEnvelope(bytes);
  if (decoded) {
    static_cast<void>(DecodePeerBody<RelayRequest>(decoded.value().body));
  }
}

}  // namespace
}  // namespace lacewingknot
