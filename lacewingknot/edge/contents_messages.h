// Encodes and decodes the messages by which a daemon passes the contents of the
// store on to other daemons, as frames for a TCP stream.
//
// Keys and values are those of the store, whose form only the adapter to the
// platform knows; the adapter removes from a value what must not reach other
// daemons. A follower sends one request, which names the contents that it has.
// The source answers with a snapshot, or confirms that they are in force, and
// then sends changes and confirmations. Each message says how long ago the
// store confirmed the contents, so that no clocks are compared.
//
// A frame is a length prefix of four bytes and a msgpack array. Its items are
// one byte string, which the source encodes once for all followers.
//
// Thread-safe: free functions without shared state.
//
// Example:
//   const auto items = EncodeContentsItems(update.items);
//   Write(EncodeContentsFrame({.kind = ContentsKind::kSnapshot}, items));
//   auto message = ExtractContentsFrame(received, kMaxContentsFrameBytes);

#ifndef LACEWINGKNOT_EDGE_CONTENTS_MESSAGES_H_
#define LACEWINGKNOT_EDGE_CONTENTS_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/error.h"
#include "lacewingknot/policy/store_state.h"

namespace lacewingknot::edge {

// A key of the store with its value, or the deletion of the key.
struct ContentsItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool deleted = false;
  // The source could not decode the value and does not pass it on.
  bool refused = false;
  // Time since the source read the value, to which times in it refer.
  Duration age{};

  bool operator==(const ContentsItem&) const = default;
};

enum class ContentsKind : std::uint8_t {
  kRequest,       // Of a follower; the other kinds are of a source.
  kEmpty,         // The source has no contents yet.
  kConfirmation,  // Nothing has changed since the previous message.
  kChanges,
  kSnapshot,
};
inline constexpr std::size_t kContentsKindCount = 5;

struct ContentsMessage {
  ContentsKind kind = ContentsKind::kRequest;
  std::uint64_t epoch = 0;  // Of the store; 0 if not known.
  // The latest revision that the store held at the time of the message's
  // contents, and of the last page if they were read in several.
  std::uint64_t store_revision = 0;
  std::uint64_t last_page_revision = 0;
  // The revision that `kChanges` follow.
  std::uint64_t base_revision = 0;
  // What the source tells its peers of the store; for a request, what the
  // follower has.
  std::uint64_t revision = 0;
  StoreState state;
  // Times since the store confirmed the contents, and since the source, or the
  // daemon that it follows, read them whole; empty if unknown.
  std::optional<Duration> confirmation_age;
  std::optional<Duration> unbroken_for;
  // How long the store has failed the source; empty if it has not.
  std::optional<Duration> lost_for;
  // Time before the call that brought the changes in which the store was not
  // asked.
  Duration pause{};
  // Links between the source and the store: 0 if it reads the store itself.
  std::uint32_t hops = 0;
  std::vector<ContentsItem> items;

  bool operator==(const ContentsMessage&) const = default;
};

// A store of 2,200 upstreams takes about 600 KB.
inline constexpr std::size_t kMaxContentsFrameBytes = 4 << 20;
// Requests have no items.
inline constexpr std::size_t kMaxContentsRequestBytes = 256;
inline constexpr std::size_t kMaxContentsItems = 20'000;

std::string EncodeContentsItems(std::span<const ContentsItem> items);
// Encodes `message` with `encoded_items` in place of its items. `items_age` is
// the time since they were encoded. Empty if the frame would be too large.
std::string EncodeContentsFrame(const ContentsMessage& message,
                                std::string_view encoded_items = {},
                                Duration items_age = {});

// Removes the first frame from `received` and decodes it; empty if it is not
// complete. Returns kPeerProtocol if it is malformed or larger than
// `max_bytes`.
Result<std::optional<ContentsMessage>> ExtractContentsFrame(
    std::string& received, std::size_t max_bytes);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CONTENTS_MESSAGES_H_
