// Messages between the daemon that received a query (the entry daemon) and a
// relay, a daemon that queries some of the shards on its behalf.
//
// A frame is a big-endian length of four bytes followed by a msgpack array
// whose first element is the kind of the message. Only the entry daemon
// delegates attempts, in the messages that it sends. The total number of
// attempts at a shard therefore never exceeds the route's limit, even if either
// daemon stops.
//
// A part is the signed answer of one shard to the query.
//
// Errors: a frame that cannot be decoded yields ErrorType::kPeerProtocol.
//
// Thread-safe: free functions without shared state.
//
// Example:
//   std::string bytes = EncodeRelayFrame(RelayAbandon{.query = 7});
//   auto message = ExtractRelayFrame(bytes);
//   if (message && message.value()) Handle(*std::move(message.value()));

#ifndef LACEWINGKNOT_EDGE_RELAY_MESSAGES_H_
#define LACEWINGKNOT_EDGE_RELAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/policy/statement_table.h"

namespace lacewingknot::edge {

// Reasons why a relay did not make a delegated attempt.
inline constexpr std::string_view kCauseNoReplica = "no_replica";
// What all replicas say of themselves keeps them from the attempt
// (policy/upstream_gate.h).
inline constexpr std::string_view kCauseWithheld = "withheld";
inline constexpr std::string_view kCauseNoBudget = "no_budget";
inline constexpr std::string_view kCauseExpired = "expired";
inline constexpr std::string_view kCauseAnsweredAlready = "answered_already";
// The connection to the relay was lost.
inline constexpr std::string_view kCauseRelayLost = "relay_lost";
// A replica in another data centre is expected to answer sooner.
inline constexpr std::string_view kCauseBetterElsewhere = "better_elsewhere";
// The answer is unsigned or answers another request, so it is not a part.
inline constexpr std::string_view kCauseUnsigned = "answer_unsigned";

// One attempt that the entry daemon delegates to the relay.
struct RelayAttempt {
  std::uint64_t number = 0;  // Chosen by the sender; unique on the connection.
  std::string service;
  AttemptKind kind = AttemptKind::kFirst;
  // The relay must make the attempt even if a replica in another data centre is
  // expected to answer sooner.
  bool is_mandatory = false;
  // The part's records are returned in its own result instead of merged into
  // the batch. Needed if another relay may deliver the same shard too: merged
  // records cannot be attributed to a shard.
  bool returns_own_records = false;
};

// Delegates attempts for one query. `head`, `body` and `request_id` are as in
// OutboundRequest; they are empty if this relay already has the request.
struct RelayAttemptRequest {
  std::uint64_t query = 0;  // Number of the query at the entry daemon.
  std::string head;
  std::string body;
  std::string request_id;
  std::int64_t time_left_ms = 0;     // Time left until the query's deadline.
  std::int64_t mean_latency_us = 0;  // Mean latency of one attempt.
  std::int64_t priority = 0;
  // The latency objective leaves no time for a slow attempt.
  bool is_urgent = false;
  std::int64_t top_records = 0;  // Number of top records to return.
  std::int64_t max_batch_delay_us =
      0;  // Longest time a result waits for its batch.
  std::vector<RelayAttempt> attempts;
};

// Outcome of one attempt. A part has a signature; its records are merged into
// the batch unless RelayAttempt::separate was set.
struct RelayResult {
  std::uint64_t number = 0;
  AttemptEnd end = AttemptEnd::kNotSent;
  std::int32_t status = 0;
  std::string cause;  // Reason for the outcome, for the log.
  // Upstream that received the attempt; empty if none did, or for a part.
  std::string upstream;
  std::string signature;
  std::string records;  // Set only for a part with RelayAttempt::separate.
};

// A batch of results of one query. An empty batch acknowledges the request: the
// relay is working on it. `records` holds those records of the parts in this
// batch that are among the top records of all parts sent so far. A batch is
// therefore only valid together with all earlier ones on the connection.
struct RelayResults {
  std::uint64_t query = 0;
  std::vector<RelayResult> results;
  std::string records;
  // What the answers in this batch say of their upstreams.
  std::vector<StatementReport> statements;
};

// Cancels all attempts of a query.
struct RelayAbandon {
  std::uint64_t query = 0;
};

// The relay is about to stop and should be sent no further attempts. Attempts
// delegated before continue.
struct RelayStopNotice {};

using RelayMessage = std::variant<RelayAttemptRequest, RelayResults,
                                  RelayAbandon, RelayStopNotice>;

// Returns `message` as a complete frame.
std::string EncodeRelayFrame(const RelayMessage& message);

// Removes the first frame from `received` and returns its message. Returns an
// empty optional if the frame is still incomplete, and kPeerProtocol if it is
// not a valid message.
Result<std::optional<RelayMessage>> ExtractRelayFrame(std::string& received);

// Returns the string literal that equals `cause`, or "other" if the cause is
// not known. A literal is needed because results outlive the message that
// carried the cause.
std::string_view InternCause(std::string_view cause);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_MESSAGES_H_
