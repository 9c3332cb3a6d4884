// Messages between daemons.
//
// Every message is an envelope in MessagePack: protocol version, kind, sender,
// the address that answers go to, a correlation number, and a body. Decoding
// checks the version and every bound, and never trusts a length.
//
// The exchange is a pull: what a peer claims is taken only from its reply, so
// that the age of a claim has a lower bound, the time at which the request was
// sent. A message that was delayed cannot make old evidence look new.

#ifndef LACEWINGKNOT_PEER_MESSAGE_H_
#define LACEWINGKNOT_PEER_MESSAGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"

namespace lacewingknot {

inline constexpr std::uint32_t kPeerProtocol = 1;

// Larger than a settings document of the largest size the platform holds.
inline constexpr std::size_t kMaxPeerMessageBytes = 2 << 20;

enum class PeerMessageKind : std::uint32_t {
  kExchangeRequest = 1,
  kExchangeReply = 2,
  kDocumentRequest = 3,
  kDocumentReply = 4,
  kRelayRequest = 5,
  kRelayReply = 6,
};

struct PeerEnvelope {
  std::uint32_t protocol = kPeerProtocol;
  std::uint32_t kind = 0;
  std::string from;      // VM of the sender.
  std::string reply_to;  // "IP:PORT" of the sender's peer listener.
  std::uint64_t correlation = 0;
  std::string body;
  MSGPACK_DEFINE(protocol, kind, from, reply_to, correlation, body);
};

// What a daemon holds. An age is in milliseconds; negative: never confirmed.
struct ViewDigest {
  std::uint64_t settings_revision = 0;
  std::uint64_t settings_hash = 0;
  std::int64_t settings_age_ms = -1;
  std::uint64_t list_revision = 0;
  std::int64_t list_age_ms = -1;
  bool draining = false;
  MSGPACK_DEFINE(settings_revision, settings_hash, settings_age_ms,
                 list_revision, list_age_ms, draining);
};

struct ExchangeRequest {
  ViewDigest view;
  // Upstreams of which the sender wants claims.
  std::vector<std::string> wanted;
  MSGPACK_DEFINE(view, wanted);
};

struct PeerClaim {
  std::string upstream;
  std::string instance;
  std::int64_t level = 0;
  std::int64_t age_ms = 0;        // Since the instance last answered.
  std::int64_t level_age_ms = 0;  // Since the level was set.
  MSGPACK_DEFINE(upstream, instance, level, age_ms, level_age_ms);
};

struct ExchangeReply {
  ViewDigest view;
  std::vector<PeerClaim> claims;
  MSGPACK_DEFINE(view, claims);
};

struct DocumentRequest {
  std::string name;  // "settings" or "vms".
  MSGPACK_DEFINE(name);
};

struct DocumentReply {
  std::string name;
  std::string text;
  MSGPACK_DEFINE(name, text);
};

struct RelayItem {
  std::uint64_t attempt = 0;
  std::string upstream;
  std::string shard;
  std::uint64_t version = 0;
  std::int64_t time_left_us = 0;
  std::string query;
  MSGPACK_DEFINE(attempt, upstream, shard, version, time_left_us, query);
};

struct RelayRequest {
  std::vector<RelayItem> items;
  MSGPACK_DEFINE(items);
};

struct RelayResult {
  std::uint64_t attempt = 0;
  std::string failure;  // An ErrorTypeName; empty if answered.
  std::uint64_t version = 0;
  std::vector<std::uint64_t> versions;
  std::string items;
  std::uint64_t item_count = 0;
  MSGPACK_DEFINE(attempt, failure, version, versions, items, item_count);
};

struct RelayReply {
  std::vector<RelayResult> results;
  MSGPACK_DEFINE(results);
};

template <typename T>
std::string EncodePeerBody(const T& body) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, body);
  return {buffer.data(), buffer.size()};
}

// kPeerProtocol if `bytes` are not a whole T within bounds.
template <typename T>
Result<T> DecodePeerBody(std::string_view bytes);

std::string EncodeEnvelope(const PeerEnvelope& envelope);

// kPeerProtocol for garbage, an unknown kind or another protocol version.
Result<PeerEnvelope> DecodeEnvelope(std::string_view bytes);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_PEER_MESSAGE_H_
