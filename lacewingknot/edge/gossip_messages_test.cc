#include "lacewingknot/edge/gossip_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <msgpack.hpp>

#include "lacewingknot/policy/watch_schedule.h"

namespace lacewingknot::edge {
namespace {

GossipMessage MaxSizeMessage() {
  GossipMessage message{
      .membership = {.kind = MemberMessageKind::kList,
                     .probe_number = 31,
                     .target = "10.0.0.2:7380",
                     .sender = {.address = "10.0.0.1:7380",
                                .incarnation = 5,
                                .data_centre = "regina",
                                .processor_share = 0.12},
                     .digest = 77},
      .store_revision = 412,
      .store_epoch = 9,
      .store_confirmation_age = std::chrono::seconds(3),
      .store_unbroken_for = std::chrono::minutes(20),
      .store_state = {.since = 412, .until = 431, .digest = 0xfeed'beef}};
  for (std::size_t i = 0; i < Membership::kMaxUpdatesPerMessage; ++i) {
    message.membership.updates.push_back(
        {.member = {
             .address = "10.200.100." + std::to_string(100 + i) + ":7380",
             .incarnation = 4'000'000'000 + i,
             .data_centre = i % 2 == 0 ? "regina" : "saskatoon",
             .processor_share = 0.5}});
  }
  message.membership.updates[1].gone_for = std::chrono::seconds(12);
  for (std::size_t i = 0; i < GossipMessage::kMaxStatements; ++i) {
    message.statements.push_back(
        {.upstream = "availability-scot-central-a-" + std::to_string(100 + i),
         .incarnation = 1'764'892'800'000,
         .is_leaving = i % 2 == 0,
         .wait = std::chrono::milliseconds(1'500),
         .rate = i % 3 == 0 ? std::nullopt : std::optional(21.5),
         .age = std::chrono::milliseconds(12)});
  }
  message.demands = {{.upstream = "u",
                      .incarnation = 1'764'892'800'000,
                      .per_second = 12.5,
                      .interval = std::chrono::seconds(1)}};
  message.demand_sums = {{.upstream = "v", .incarnation = 7, .per_second = 80}};
  return message;
}

TEST(GossipMessageTest, Message_EncodedAndDecoded_IsEqual) {
  const auto decoded = DecodeGossip(EncodeGossip(MaxSizeMessage()));
  ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
  const MemberMessage& membership = decoded.value().membership;
  EXPECT_EQ(decoded.value().store_revision, 412U);
  EXPECT_EQ(decoded.value().store_epoch, 9U);
  EXPECT_EQ(decoded.value().store_confirmation_age, std::chrono::seconds(3));
  EXPECT_EQ(decoded.value().store_unbroken_for, std::chrono::minutes(20));
  EXPECT_EQ(decoded.value().store_state, MaxSizeMessage().store_state);
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
  EXPECT_EQ(decoded.value().statements, MaxSizeMessage().statements);
  EXPECT_EQ(decoded.value().demands, MaxSizeMessage().demands);
  EXPECT_EQ(decoded.value().demand_sums, MaxSizeMessage().demand_sums);
}

TEST(GossipMessageTest, StoreState_AnyRevisions_IsDecodedExactly) {
  GossipMessage message = MaxSizeMessage();
  for (const std::uint64_t since : {412ULL, 413ULL, 70'000ULL, 1ULL << 60}) {
    for (const std::uint64_t length : {0ULL, 1ULL, 300ULL, 1ULL << 40}) {
      message.store_state = {
          .since = since, .until = since + length, .digest = 0x80'00'00'01};
      const auto decoded = DecodeGossip(EncodeGossip(message));
      ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
      EXPECT_EQ(decoded.value().store_state, message.store_state);
    }
  }
}

// Guards against a datagram that peers refuse whole because of one long id.
TEST(GossipMessageTest, Statement_OfUpstreamWithLongId_IsLeftOut) {
  GossipMessage message = MaxSizeMessage();
  message.statements = {{.upstream = std::string(180, 'u')},
                        {.upstream = "short"}};
  const auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
  ASSERT_EQ(decoded.value().statements.size(), 1U);
  EXPECT_EQ(decoded.value().statements.front().upstream, "short");
}

// Daemons of earlier releases send nine fields.
TEST(GossipMessageTest, Message_OfEarlierRelease_IsAccepted) {
  constexpr std::uint32_t kFields = 9;
  const std::string bytes = EncodeGossip(MaxSizeMessage());
  const auto handle = msgpack::unpack(bytes.data(), bytes.size());
  msgpack::sbuffer earlier;
  msgpack::packer<msgpack::sbuffer> packer(earlier);
  const auto& fields = handle.get().via.array;
  ASSERT_GT(fields.size, kFields);
  packer.pack_array(kFields);
  for (std::uint32_t i = 0; i < kFields; ++i) packer.pack(fields.ptr[i]);
  const auto decoded = DecodeGossip({earlier.data(), earlier.size()});
  ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
  EXPECT_EQ(decoded.value().store_revision, 412U);
  EXPECT_EQ(decoded.value().store_confirmation_age, std::nullopt);
  EXPECT_TRUE(decoded.value().statements.empty());
  EXPECT_FALSE(decoded.value().store_state.is_known());
  EXPECT_EQ(decoded.value().store_epoch, 0U);
}

// Guards against a peer that is taken for malformed, because it reports an
// upstream that has not answered since the machine started.
TEST(GossipMessageTest, Statement_HoursOld_IsAccepted) {
  GossipMessage message = MaxSizeMessage();
  message.statements.front().age = std::chrono::hours(30);
  const auto decoded = DecodeGossip(EncodeGossip(message));
  ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
  EXPECT_GE(decoded.value().statements.front().age, std::chrono::hours(1));
}

TEST(GossipMessageTest, Message_MaxMembers_FitsInDatagram) {
  GossipMessage message = MaxSizeMessage();
  EXPECT_LE(EncodeGossip(message).size(), 4'096U);
  // What is sent regularly needs one packet.
  message.statements.clear();
  message.demands.clear();
  message.demand_sums.clear();
  EXPECT_LE(EncodeGossip(message).size(), 1'400U);
}

// Every daemon asks a sentinel once a second, and each question is answered.
TEST(GossipMessageTest, Sentinel_FleetOf500_AnswersWithinTrafficBudget) {
  constexpr std::size_t kMaxBytesPerSecond = 8'000;
  constexpr std::size_t kUdpAndIpHeaderBytes = 28;
  constexpr int kDaemons = 500;
  std::vector<Member> fleet;
  fleet.reserve(kDaemons);
  for (int i = 0; i < kDaemons; ++i) {
    fleet.push_back(
        {.address = "10." + std::to_string(i / 250) + ".100." +
                    std::to_string(i % 250) + ":7380",
         .incarnation = 4'000'000'000,
         .data_centre = "scot-central-" + std::to_string(i % 13 % 6)});
  }
  const auto sentinels = SelectSentinels(fleet);
  std::map<std::string, std::size_t> askers;
  for (const Member& member : fleet) {
    const bool is_sentinel = std::find(sentinels.begin(), sentinels.end(),
                                       member.address) != sentinels.end();
    if (!is_sentinel) ++askers[RankSentinels(member, fleet, sentinels)[0]];
  }
  GossipMessage message{
      .membership = {.kind = MemberMessageKind::kProbeAck,
                     .probe_number = 65'535,
                     .target = fleet[0].address,
                     .sender = fleet[1],
                     .digest = 0xfeed'beef'feed'beef,
                     .knows_fleet_size = true},
      .store_revision = 4'000'000'000,
      .store_confirmation_age = std::chrono::milliseconds(1'600),
      .store_unbroken_for = std::chrono::minutes(50)};
  const std::size_t question =
      EncodeGossip(message).size() + kUdpAndIpHeaderBytes;
  message.store_epoch = 60'000;
  message.store_state = {
      .since = 4'000'000'000, .until = 4'000'100'000, .digest = 0xfeed'beef};
  const std::size_t answer =
      EncodeGossip(message).size() + kUdpAndIpHeaderBytes;
  for (const auto& [sentinel, count] : askers) {
    EXPECT_LE(count * (question + answer), kMaxBytesPerSecond)
        << count << " daemons ask " << sentinel << ", " << question << " and "
        << answer << " bytes each";
  }
}

TEST(GossipMessageTest, Message_TooManyMembers_IsRejected) {
  GossipMessage message = MaxSizeMessage();
  message.membership.updates.push_back(message.membership.updates.front());
  EXPECT_FALSE(DecodeGossip(EncodeGossip(message)).has_value());
}

// Guards against memory that is allocated because a datagram claims an array.
TEST(GossipMessageTest, Message_ClaimingArrayWithoutItems_IsRejected) {
  const auto decoded = DecodeGossip(std::string("\xdd\x0f\xff\xff\xff", 5));
  ASSERT_FALSE(decoded.has_value());
  EXPECT_EQ(decoded.error().detail, "more objects than a message can have");
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
