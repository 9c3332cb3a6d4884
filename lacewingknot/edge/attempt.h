// An attempt is one request to one upstream, made on behalf of a client
// request.
//
// Not thread-safe: attempts live on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_ATTEMPT_H_
#define LACEWINGKNOT_EDGE_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/edge/http_messages.h"

namespace lacewingknot::edge {

// The request that all attempts of one client request send.
struct OutboundRequest {
  std::string head;  // Request line and headers, without the empty line.
  std::string body;
  std::string request_id;
  bool answer_has_no_body = false;  // The method is HEAD.
  // Numbers of the connections that have carried an attempt of the request. All
  // attempts share this object.
  mutable std::vector<std::uint64_t> carried_by;
  mutable bool was_sent = false;  // An attempt was sent, maybe to a relay.
};

enum class AttemptEnd {
  kAnswered,  // A complete answer to this request arrived.
  kRefused,   // The upstream reported that it did not run the request.
  kNotSent,   // No byte was sent.
  kLost,      // The request may have run, but there is no usable answer.
};

inline constexpr std::size_t kAttemptEndCount = 4;

// HTTP status of an upstream that is not the expected one.
inline constexpr int kMisdirectedStatus = 421;

// Causes of attempts that are lost because their answer is too large, or
// because too many bytes of answers are held.
inline constexpr std::string_view kCauseAnswerTooLarge = "answer_too_large";
inline constexpr std::string_view kCauseAnswerBudget = "answer_budget";

// Receives answers that were dropped for one of these causes: who sent them,
// and how many bytes of the answer were held.
using AnswerDroppedHook = std::function<void(
    std::string_view from, std::string_view cause, std::size_t bytes)>;

// Why an attempt is made.
enum class AttemptKind { kFirst, kHedge, kRetry };
inline constexpr std::size_t kAttemptKindCount = 3;

std::string_view AttemptEndName(AttemptEnd end);
std::string_view AttemptKindName(AttemptKind kind);

// Whether `reply` is a signed answer to `request`.
inline bool IsPartOf(const OutboundRequest& request,
                     const UpstreamReply& reply) {
  return !reply.signature.empty() && reply.request_id == request.request_id;
}

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kNotSent;
  UpstreamReply reply;     // With kAnswered and kRefused.
  std::string_view cause;  // Reason, for the log; a string literal.
};

// Kept alive by the connection or queue that holds it.
struct Attempt {
  std::shared_ptr<const OutboundRequest> request;
  // The deadline: the upstream may stop working on the request then.
  TimePoint deadline{};
  Duration mean_latency{};       // Mean latency of such a request.
  std::int64_t priority = 0;     // 0 is the most urgent.
  bool keep_headers = false;     // The answer's headers will be forwarded.
  bool is_health_check = false;  // Made by this daemon, not for a client.
  // Called once when the attempt ends, unless it is abandoned before.
  std::function<void(AttemptResult)> on_done;

  // ID of the upstream that a relay chose; empty if this daemon chose it.
  std::string upstream;
  TimePoint submitted_at{};
  TimePoint sent_at{};
  bool sent = false;
  bool finished = false;
  bool abandoned = false;

  // Reports `result` through `on_done`; later calls have no effect.
  void Finish(AttemptResult result) {
    if (finished) return;
    finished = true;
    // The callback may hold the last reference to its owner.
    auto callback = std::move(on_done);
    on_done = nullptr;
    if (callback) callback(std::move(result));
  }
};

using AttemptPtr = std::shared_ptr<Attempt>;

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_ATTEMPT_H_
