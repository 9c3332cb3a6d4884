// Messages between daemons, encoded as MessagePack arrays.
//
// Every message is a `PeerEnvelope`: protocol version, kind, sender, the
// address that replies go to, a correlation number, and an encoded body.
// Decoding checks the protocol version and the kind, and limits every length
// before it allocates, so that a malformed message cannot exhaust memory.
//
// Exchanges are pulls: a daemon takes a peer's reports and confirmations only
// from the reply to its own request, and counts their ages back from the time
// at which it sent the request. The reply was made after that, so a delayed
// message cannot make old evidence look recent.
//
// Pure functions; thread-safe.
//
// Example:
//   const std::string bytes = EncodeEnvelope(
//       {.kind = static_cast<std::uint32_t>(PeerMessageKind::kExchangeRequest),
//        .from = "vm-1",
//        .reply_to = "127.0.0.1:7001",
//        .correlation = 1,
//        .body = EncodePeerBody(ExchangeRequest{})});
//   const auto envelope = DecodeEnvelope(bytes);
//   if (!envelope) return envelope.error();
//   const auto request =
//       DecodePeerBody<ExchangeRequest>(envelope.value().body);

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

inline constexpr std::uint32_t kPeerProtocolVersion = 1;

// Larger than the largest settings document that the platform stores, as a
// DocumentReply carries a whole one.
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
  std::uint32_t protocol = kPeerProtocolVersion;
  std::uint32_t kind = 0;
  std::string from;      // VM name of the sender.
  std::string reply_to;  // "IP:PORT" of the sender's peer listener.
  // Chosen by the requester and repeated in the reply; 0 in relay messages,
  // whose attempts are numbered.
  std::uint64_t correlation = 0;
  std::string body;
  MSGPACK_DEFINE(protocol, kind, from, reply_to, correlation, body);
};

// A daemon's versions of the settings and the VM list. Ages are times since the
// platform or a peer last confirmed the version, in milliseconds; negative if
// none has.
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
  // Names of the upstreams whose warm-up reports the sender wants.
  std::vector<std::string> wanted;
  MSGPACK_DEFINE(view, wanted);
};

// What the sender knows of an upstream's instance and warm-up level.
struct PeerWarmupReport {
  std::string upstream;
  std::string instance;
  std::int64_t level = 0;
  std::int64_t age_ms = 0;        // Since the instance last answered.
  std::int64_t level_age_ms = 0;  // Since the level last changed.
  MSGPACK_DEFINE(upstream, instance, level, age_ms, level_age_ms);
};

struct ExchangeReply {
  ViewDigest view;
  std::vector<PeerWarmupReport> claims;
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

// One attempt of a query that the receiver makes for the sender.
struct RelayedAttempt {
  std::uint64_t attempt = 0;
  std::string upstream;
  std::string shard;
  std::uint64_t version = 0;
  std::int64_t time_left_us = 0;  // Until the deadline, in microseconds.
  std::string query;
  MSGPACK_DEFINE(attempt, upstream, shard, version, time_left_us, query);
};

struct RelayRequest {
  std::vector<RelayedAttempt> items;
  MSGPACK_DEFINE(items);
};

struct RelayResult {
  std::uint64_t attempt = 0;
  std::string failure;  // An ErrorTypeName; empty if the upstream answered.
  std::uint64_t version = 0;
  std::vector<std::uint64_t> versions;
  std::string items;  // The items of the part, as a JSON array.
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

// Defined for the request and reply types above. kPeerProtocol if `bytes` are
// not exactly one T within the limits.
template <typename T>
Result<T> DecodePeerBody(std::string_view bytes);

std::string EncodeEnvelope(const PeerEnvelope& envelope);

// kPeerProtocol if `bytes` are not one envelope within the limits, or its kind
// or protocol version is unknown.
Result<PeerEnvelope> DecodeEnvelope(std::string_view bytes);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_PEER_MESSAGE_H_
