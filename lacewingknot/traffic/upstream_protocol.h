// The HTTP protocol between the daemon and upstreams.
//
// A sub-request is `POST /query` and a non-idempotent request `POST /write`.
// Headers carry the attempt, shard, index version and time left. An answer
// echoes the attempt and shard, and carries the index version that answered,
// the upstream's instance and the versions that it has. An answer that does not
// echo what was requested is refused, so that a late or mismatched answer never
// reaches another request. docs/API.md specifies the format.
//
// Errors: a refused answer is kMismatchedAnswer or kMalformedAnswer; an HTTP
// status other than 200 maps to the error type that it stands for.
//
// Thread-safe: all functions are pure.
//
// Example:
//   const SubRequest request{.attempt = "a", .shard = "s", .query = "q"};
//   auto on_reply = [&](Result<HttpReply> reply) {
//     std::vector<IndexVersion> versions;
//     if (reply) Use(ParseQueryReply(request, reply.value(), versions));
//   };
//   connection->Exchange(MakeQueryCall(request), on_reply);

#ifndef LACEWINGKNOT_TRAFFIC_UPSTREAM_PROTOCOL_H_
#define LACEWINGKNOT_TRAFFIC_UPSTREAM_PROTOCOL_H_

#include <string>
#include <string_view>

#include "lacewingknot/net/http_connection.h"
#include "lacewingknot/policy/query_plan.h"
#include "lacewingknot/policy/write_plan.h"

namespace lacewingknot {

namespace headers {
inline constexpr std::string_view kAttempt = "Lk-Attempt";
inline constexpr std::string_view kShard = "Lk-Shard";
inline constexpr std::string_view kVersion = "Lk-Version";
inline constexpr std::string_view kVersions = "Lk-Versions";
inline constexpr std::string_view kInstance = "Lk-Instance";
inline constexpr std::string_view kCount = "Lk-Count";
inline constexpr std::string_view kDeadlineMs = "Lk-Deadline-Ms";
inline constexpr std::string_view kWriteId = "Lk-Write-Id";
inline constexpr std::string_view kRan = "Lk-Ran";
inline constexpr std::string_view kState = "Lk-State";
}  // namespace headers

// A request for one shard.
struct SubRequest {
  std::string attempt;  // Unique over all daemons and restarts.
  std::string shard;
  IndexVersion version = kAnyVersion;
  Duration time_left{};
  std::string query;
};

// A valid answer and the instance of the upstream that gave it.
struct SubAnswer {
  Part part;
  std::string instance;
};

// A failed attempt, as reported by the upstream or by the connection.
struct SubFailure {
  ErrorType type;
  std::vector<IndexVersion> versions;
};

HttpCall MakeQueryCall(const SubRequest& request);
HttpCall MakeWriteCall(std::string_view write_id, const SubRequest& request);

// Checks and decodes the answer to `request`; moves the body out of `reply`.
// Sets `versions` to the index versions that the upstream reports, also if the
// answer is refused.
Result<SubAnswer> ParseQueryReply(const SubRequest& request, HttpReply& reply,
                                  std::vector<IndexVersion>& versions);

// The outcome of a write. `reason` is meaningful unless the outcome is kDone.
struct WriteReply {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  ErrorType reason = ErrorType::kOutcomeUnknown;
  std::string body;
};
// Decodes the answer to the write sent as `attempt`; moves the body out of
// `reply`. The outcome is kNotRun only if the upstream says so.
WriteReply ParseWriteReply(std::string_view attempt, HttpReply& reply);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_UPSTREAM_PROTOCOL_H_
