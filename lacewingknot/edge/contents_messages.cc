#include "lacewingknot/edge/contents_messages.h"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

#include "lacewingknot/edge/internal/compression.h"
#include "lacewingknot/edge/internal/frame.h"
#include "lacewingknot/edge/internal/object_count.h"

namespace lacewingknot::edge {
namespace {

// First element of each message. A new layout needs a new number; a peer of
// another release closes the link.
constexpr std::uint32_t kContentsVersion = 2;
constexpr std::size_t kMaxKeyBytes = 512;
// A longer time is as good as this one.
constexpr std::uint64_t kMaxAgeMs = 86'400'000;
constexpr std::size_t kMaxMessageObjects = 64;
constexpr std::size_t kObjectsPerItem = 6;

// Bits of an item's flags.
constexpr std::uint32_t kDeletedFlag = 1;
constexpr std::uint32_t kRefusedFlag = 2;

// Key, value, revision, flags, age in milliseconds.
using WireItem = std::tuple<std::string, std::string, std::uint64_t,
                            std::uint32_t, std::uint64_t>;
// Since, until, digest.
using WireState = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
// Version, kind, epoch, current revision, last page's revision, base revision,
// revision, state, three times (0 or 1 plus milliseconds), pause in
// milliseconds, milliseconds since the items were encoded, hops, items
// (compressed: a configuration of some tens of kilobytes goes to every daemon).
using WireMessage =
    std::tuple<std::uint32_t, std::uint32_t, std::uint64_t, std::uint64_t,
               std::uint64_t, std::uint64_t, std::uint64_t, WireState,
               std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
               std::uint64_t, std::uint32_t, std::string>;

std::uint64_t EncodeMillis(Duration duration) {
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(
      ToMillis(duration), 0, static_cast<std::int64_t>(kMaxAgeMs)));
}

Duration DecodeMillis(std::uint64_t wire) {
  return std::chrono::milliseconds(std::min(wire, kMaxAgeMs));
}

std::uint64_t EncodeOptional(const std::optional<Duration>& duration) {
  return duration ? EncodeMillis(*duration) + 1 : 0;
}

std::optional<Duration> DecodeOptional(std::uint64_t wire) {
  if (wire == 0) return std::nullopt;
  return DecodeMillis(wire - 1);
}

std::vector<ContentsItem> DecodeItems(std::string_view compressed,
                                      Duration age) {
  std::vector<ContentsItem> items;
  if (compressed.empty()) return items;
  const Result<std::string> decompressed =
      internal::Decompress(compressed, kMaxContentsFrameBytes);
  if (!decompressed) throw msgpack::type_error();
  const std::string& bytes = decompressed.value();
  if (internal::HasMoreObjects(bytes,
                               kMaxContentsItems * kObjectsPerItem + 1)) {
    throw msgpack::type_error();
  }
  const auto handle = msgpack::unpack(bytes.data(), bytes.size());
  auto wire = handle.get().as<std::vector<WireItem>>();
  if (wire.size() > kMaxContentsItems) throw msgpack::type_error();
  items.reserve(wire.size());
  for (auto& [key, value, revision, flags, item_age] : wire) {
    const bool is_deleted = (flags & kDeletedFlag) != 0;
    const bool is_refused = (flags & kRefusedFlag) != 0;
    if (key.empty() || key.size() > kMaxKeyBytes ||
        ((is_deleted || is_refused) && !value.empty())) {
      throw msgpack::type_error();
    }
    items.push_back({.key = std::move(key),
                     .value = std::move(value),
                     .revision = revision,
                     .deleted = is_deleted,
                     .refused = is_refused,
                     .age = DecodeMillis(item_age) + age});
  }
  return items;
}

ContentsMessage ParseMessage(const WireMessage& wire) {
  const auto& [version, kind, epoch, current, last_page, base, revision, state,
               confirmation_age, unbroken_for, lost_for, pause, items_age, hops,
               items] = wire;
  const auto& [since, until, digest] = state;
  const bool has_items =
      kind == static_cast<std::uint32_t>(ContentsKind::kChanges) ||
      kind == static_cast<std::uint32_t>(ContentsKind::kSnapshot);
  if (version != kContentsVersion || kind >= kContentsKindCount ||
      since > until || (!has_items && !items.empty())) {
    throw msgpack::type_error();
  }
  return {.kind = static_cast<ContentsKind>(kind),
          .epoch = epoch,
          .store_revision = current,
          .last_page_revision = last_page,
          .base_revision = base,
          .revision = revision,
          .state = {.since = since, .until = until, .digest = digest},
          .confirmation_age = DecodeOptional(confirmation_age),
          .unbroken_for = DecodeOptional(unbroken_for),
          .lost_for = DecodeOptional(lost_for),
          .pause = DecodeMillis(pause),
          .hops = hops,
          .items = DecodeItems(items, DecodeMillis(items_age))};
}

}  // namespace

std::string EncodeContentsItems(std::span<const ContentsItem> items) {
  msgpack::sbuffer bytes;
  msgpack::packer<msgpack::sbuffer> packer(bytes);
  packer.pack_array(static_cast<std::uint32_t>(items.size()));
  for (const ContentsItem& item : items) {
    packer.pack(std::tuple<const std::string&, const std::string&,
                           std::uint64_t, std::uint32_t, std::uint64_t>(
        item.key, item.value, item.revision,
        (item.deleted ? kDeletedFlag : 0) | (item.refused ? kRefusedFlag : 0),
        EncodeMillis(item.age)));
  }
  // EncodeContentsFrame() refuses these.
  if (bytes.size() > kMaxContentsFrameBytes) {
    return {bytes.data(), bytes.size()};
  }
  return internal::Compress({bytes.data(), bytes.size()});
}

std::string EncodeContentsFrame(const ContentsMessage& message,
                                std::string_view encoded_items,
                                Duration items_age) {
  msgpack::sbuffer bytes;
  msgpack::packer<msgpack::sbuffer> packer(bytes);
  packer.pack_array(std::tuple_size_v<WireMessage>);
  packer.pack(kContentsVersion);
  packer.pack(static_cast<std::uint32_t>(message.kind));
  packer.pack(message.epoch);
  packer.pack(message.store_revision);
  packer.pack(message.last_page_revision);
  packer.pack(message.base_revision);
  packer.pack(message.revision);
  packer.pack(WireState(message.state.since, message.state.until,
                        message.state.digest));
  packer.pack(EncodeOptional(message.confirmation_age));
  packer.pack(EncodeOptional(message.unbroken_for));
  packer.pack(EncodeOptional(message.lost_for));
  packer.pack(EncodeMillis(message.pause));
  packer.pack(EncodeMillis(items_age));
  packer.pack(message.hops);
  packer.pack_str(static_cast<std::uint32_t>(encoded_items.size()));
  packer.pack_str_body(encoded_items.data(),
                       static_cast<std::uint32_t>(encoded_items.size()));
  if (bytes.size() > kMaxContentsFrameBytes) return {};
  return internal::EncodeFrame({bytes.data(), bytes.size()});
}

Result<std::optional<ContentsMessage>> ExtractContentsFrame(
    std::string& received, std::size_t max_bytes) {
  return internal::ExtractFrame<ContentsMessage>(
      received, {.max_bytes = max_bytes, .max_objects = kMaxMessageObjects},
      [](const msgpack::object& object) {
        // A tuple also takes a shorter array.
        if (object.type != msgpack::type::ARRAY ||
            object.via.array.size != std::tuple_size_v<WireMessage>) {
          throw msgpack::type_error();
        }
        return ParseMessage(object.as<WireMessage>());
      });
}

}  // namespace lacewingknot::edge
