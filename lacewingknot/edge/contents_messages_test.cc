#include "lacewingknot/edge/contents_messages.h"

#include <gtest/gtest.h>

#include <random>

#include "lacewingknot/edge/internal/compression.h"

namespace lacewingknot::edge {
namespace {

using std::chrono::milliseconds;

ContentsMessage MakeSnapshot() {
  return {
      .kind = ContentsKind::kSnapshot,
      .epoch = 3,
      .store_revision = 412,
      .last_page_revision = 413,
      .base_revision = 400,
      .revision = 410,
      .state = {.since = 410, .until = 412, .digest = 0x12'34'56'78},
      .confirmation_age = milliseconds(120),
      .unbroken_for = milliseconds(60'000),
      .lost_for = milliseconds(0),
      .pause = milliseconds(500),
      .hops = 2,
      .items = {
          {.key = "a", .value = "one", .revision = 7},
          {.key = "b", .revision = 8, .deleted = true, .age = milliseconds(30)},
          {.key = "c", .revision = 9, .refused = true}}};
}

std::string Encode(const ContentsMessage& message) {
  return EncodeContentsFrame(message, EncodeContentsItems(message.items));
}

TEST(ContentsMessagesTest, Snapshot_EncodedAndDecoded_IsEqual) {
  std::string received = Encode(MakeSnapshot());
  const auto message = ExtractContentsFrame(received, kMaxContentsFrameBytes);
  ASSERT_TRUE(message);
  ASSERT_TRUE(message.value());
  EXPECT_EQ(*message.value(), MakeSnapshot());
  EXPECT_TRUE(received.empty());
}

// Guards against entries that count as cold for longer with each link.
TEST(ContentsMessagesTest, Items_SentLaterThanEncoded_AgesIncludeTheTime) {
  const ContentsMessage snapshot = MakeSnapshot();
  std::string received = EncodeContentsFrame(
      snapshot, EncodeContentsItems(snapshot.items), milliseconds(50));
  const auto message = ExtractContentsFrame(received, kMaxContentsFrameBytes);
  ASSERT_TRUE(message && message.value());
  EXPECT_EQ(message.value()->items[0].age, milliseconds(50));
  EXPECT_EQ(message.value()->items[1].age, milliseconds(80));
}

TEST(ContentsMessagesTest, Frames_InPieces_DecodedWhenComplete) {
  const std::string frame = Encode(MakeSnapshot());
  std::string received;
  for (std::size_t i = 0; i + 1 < frame.size(); ++i) {
    received += frame[i];
    const auto message = ExtractContentsFrame(received, kMaxContentsFrameBytes);
    ASSERT_TRUE(message);
    EXPECT_FALSE(message.value());
  }
  received += frame.back() + frame;
  EXPECT_TRUE(*ExtractContentsFrame(received, kMaxContentsFrameBytes).value() ==
              MakeSnapshot());
  EXPECT_EQ(received, frame);
}

TEST(ContentsMessagesTest, Request_LargerThanLimit_Refused) {
  std::string received = Encode(MakeSnapshot());
  EXPECT_FALSE(ExtractContentsFrame(received, 32));
  const std::string request = EncodeContentsFrame({});
  EXPECT_LE(request.size(), kMaxContentsRequestBytes / 2);
}

TEST(ContentsMessagesTest, Confirmation_Encoded_IsSmall) {
  ContentsMessage message = MakeSnapshot();
  message.kind = ContentsKind::kConfirmation;
  message.items.clear();
  EXPECT_LE(EncodeContentsFrame(message).size(), 64);
}

TEST(ContentsMessagesTest, Frame_WithTooManyBytes_NotEncoded) {
  const std::vector<ContentsItem> items{
      {.key = "k", .value = std::string(kMaxContentsFrameBytes, 'x')}};
  EXPECT_TRUE(EncodeContentsFrame({.kind = ContentsKind::kSnapshot},
                                  EncodeContentsItems(items))
                  .empty());
}

TEST(ContentsMessagesTest, Items_InConfirmation_Refused) {
  ContentsMessage message = MakeSnapshot();
  message.kind = ContentsKind::kConfirmation;
  std::string received = Encode(message);
  EXPECT_FALSE(ExtractContentsFrame(received, kMaxContentsFrameBytes));
}

TEST(ContentsMessagesTest, Item_WithoutKeyOrDeletedWithValue_Refused) {
  for (const ContentsItem& item :
       {ContentsItem{.key = "", .value = "v"},
        ContentsItem{.key = "k", .value = "v", .deleted = true},
        ContentsItem{.key = "k", .value = "v", .refused = true},
        ContentsItem{.key = std::string(513, 'k'), .value = "v"}}) {
    ContentsMessage message = MakeSnapshot();
    message.items = {item};
    std::string received = Encode(message);
    EXPECT_FALSE(ExtractContentsFrame(received, kMaxContentsFrameBytes));
  }
}

// Guards against a damaged message of a peer that ends the process or takes
// much memory.
TEST(ContentsMessagesTest, Frame_WithDamagedBytes_DecodedOrRefused) {
  std::mt19937 random(9);
  const std::string frame = Encode(MakeSnapshot());
  int refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string received = frame;
    const std::size_t damages = 1 + random() % 4;
    for (std::size_t k = 0; k < damages; ++k) {
      received[random() % received.size()] = static_cast<char>(random());
    }
    const auto message = ExtractContentsFrame(received, kMaxContentsFrameBytes);
    refused += message ? 0 : 1;
    if (!message || !message.value()) continue;
    EXPECT_LE(message.value()->items.size(), 3);
    EXPECT_LE(message.value()->state.since, message.value()->state.until);
  }
  EXPECT_GT(refused, 5'000);
}

// Guards against a peer whose message of some kilobytes takes all memory.
TEST(ContentsMessagesTest, Items_DecompressToMoreThanAFrame_Refused) {
  const std::string items =
      internal::Compress(std::string(8 * kMaxContentsFrameBytes, '\0'));
  std::string received =
      EncodeContentsFrame({.kind = ContentsKind::kSnapshot}, items);
  EXPECT_LT(received.size(), kMaxContentsFrameBytes / 20);
  EXPECT_FALSE(ExtractContentsFrame(received, kMaxContentsFrameBytes));
}

TEST(ContentsMessagesTest, Items_NotCompressed_Refused) {
  std::string received =
      EncodeContentsFrame({.kind = ContentsKind::kSnapshot}, "\x90");
  EXPECT_FALSE(ExtractContentsFrame(received, kMaxContentsFrameBytes));
}

TEST(ContentsMessagesTest, Bytes_Random_RefusedOrIncomplete) {
  std::mt19937 random(10);
  for (int i = 0; i < 20'000; ++i) {
    std::string received(random() % 64, '\0');
    for (char& byte : received) byte = static_cast<char>(random());
    if (received.size() > 4) {
      received.replace(
          0, 4, {'\0', '\0', '\0', static_cast<char>(received.size() - 4)});
    }
    const auto message = ExtractContentsFrame(received, kMaxContentsFrameBytes);
    EXPECT_TRUE(!message || !message.value());
  }
}

}  // namespace
}  // namespace lacewingknot::edge
