#include "lacewingknot/edge/gossip_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <msgpack.hpp>

namespace lacewingknot::edge {
namespace {

GossipMessage MaxSizeMessage() {
  GossipMessage message{.membership = {.kind = MemberMessageKind::kList,
                                       .probe_number = 31,
                                       .target = "10.0.0.2:7380",
                                       .sender = {.address = "10.0.0.1:7380",
                                                  .incarnation = 5,
                                                  .data_centre = "regina",
                                                  .processor_share = 0.12},
                                       .digest = 77},
                        .store_revision = 412,
                        .store_confirmation_age = std::chrono::seconds(3)};
  for (std::size_t i = 0; i < Membership::kMaxUpdatesPerMessage; ++i) {
    message.membership.updates.push_back(
        {.member = {
             .address = "10.200.100." + std::to_string(100 + i) + ":7380",
             .incarnation = 4'000'000'000 + i,
             .data_centre = i % 2 == 0 ? "regina" : "saskatoon",
             .processor_share = 0.5}});
  }
  message.membership.updates[1].gone_for = std::chrono::seconds(12);
  return message;
}

TEST(GossipMessageTest, Message_EncodedAndDecoded_IsEqual) {
  const auto decoded = DecodeGossip(EncodeGossip(MaxSizeMessage()));
  ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
  const MemberMessage& membership = decoded.value().membership;
  EXPECT_EQ(decoded.value().store_revision, 412U);
  EXPECT_EQ(decoded.value().store_confirmation_age, std::chrono::seconds(3));
  EXPECT_EQ(membership.kind, MemberMessageKind::kList);
  EXPECT_EQ(membership.probe_number, 31U);
  EXPECT_EQ(membership.target, "10.0.0.2:7380");
  EXPECT_EQ(membership.digest, 77U);
  EXPECT_EQ(membership.sender.data_centre, "regina");
  EXPECT_DOUBLE_EQ(membership.sender.processor_share, 0.12);
  ASSERT_EQ(membership.updates.size(), Membership::kMaxUpdatesPerMessage);
  EXPECT_EQ(membership.updates[1].member.data_centre, "saskatoon");
  EXPECT_EQ(membership.updates[1].gone_for, std::chrono::seconds(12));
  EXPECT_EQ(membership.updates[2].gone_for, std::nullopt);
}

// Daemons of earlier releases send nine fields.
TEST(GossipMessageTest, Message_WithoutConfirmationAge_IsAccepted) {
  const std::string bytes = EncodeGossip(MaxSizeMessage());
  const auto handle = msgpack::unpack(bytes.data(), bytes.size());
  msgpack::sbuffer earlier;
  msgpack::packer<msgpack::sbuffer> packer(earlier);
  const auto& fields = handle.get().via.array;
  packer.pack_array(fields.size - 1);
  for (std::uint32_t i = 0; i + 1 < fields.size; ++i)
    packer.pack(fields.ptr[i]);
  const auto decoded = DecodeGossip({earlier.data(), earlier.size()});
  ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
  EXPECT_EQ(decoded.value().store_revision, 412U);
  EXPECT_EQ(decoded.value().store_confirmation_age, std::nullopt);
}

TEST(GossipMessageTest, Message_MaxMembers_FitsInDatagram) {
  EXPECT_LE(EncodeGossip(MaxSizeMessage()).size(), 1'400U);
}

TEST(GossipMessageTest, Message_TooManyMembers_IsRejected) {
  GossipMessage message = MaxSizeMessage();
  message.membership.updates.push_back(message.membership.updates.front());
  EXPECT_FALSE(DecodeGossip(EncodeGossip(message)).has_value());
}

RC_GTEST_PROP(GossipMessageProperty, Message_AnyBytes_IsDecodedOrRejected,
              (const std::string& bytes)) {
  (void)DecodeGossip(bytes);
}

RC_GTEST_PROP(GossipMessageProperty, Message_OneByteChanged_IsDecodedOrRejected,
              ()) {
  std::string bytes = EncodeGossip(MaxSizeMessage());
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  (void)DecodeGossip(bytes);
}

}  // namespace
}  // namespace lacewingknot::edge
