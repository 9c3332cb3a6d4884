// Requests to upstreams and what their answers mean.
//
// A sub-request is `POST /query` and a non-idempotent request `POST /write`.
// Headers carry the attempt, shard, index version and time left; an answer
// echoes them with the instance and the versions that the upstream has. An
// answer that does not echo what was asked is refused, so that a late or
// crossed answer never reaches another request. docs/API.md has the format.

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

struct SubRequest {
  std::string attempt;  // Unique over all daemons and restarts.
  std::string shard;
  IndexVersion version = kAnyVersion;
  Duration time_left{};
  std::string query;
};

struct SubAnswer {
  Part part;
  std::string instance;
};

// A failed attempt, as the upstream or the connection reported it.
struct SubFailure {
  ErrorType type;
  std::vector<IndexVersion> versions;
};

HttpCall MakeQueryCall(const SubRequest& request);
HttpCall MakeWriteCall(std::string_view write_id, const SubRequest& request);

// Reads the answer to `request`; on failure fills `versions` with what the
// upstream says it has.
Result<SubAnswer> ReadQueryReply(const SubRequest& request, HttpReply& reply,
                                 std::vector<IndexVersion>& versions);

// Reads the answer to a write.
struct WriteReply {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  ErrorType reason = ErrorType::kOutcomeUnknown;
  std::string body;
};
WriteReply ReadWriteReply(std::string_view attempt, HttpReply& reply);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_TRAFFIC_UPSTREAM_PROTOCOL_H_
