// One client request, from the moment it has been read until its answer.
//
// A session ends exactly once: with an answer, or because the client
// disconnected. The callbacks of its attempts and timers keep it alive.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_REQUEST_SESSION_H_
#define LACEWINGKNOT_EDGE_REQUEST_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/request_decisions.h"

namespace lacewingknot::edge {

// The answer to a client's request.
struct ClientAnswer {
  int status = 500;
  std::string reason;   // Empty: the standard phrase of the status.
  std::string headers;  // "Name: value\r\n" for each.
  std::string body;
  // When the client should retry; set only for requests that have not run.
  std::optional<Duration> retry_after;
};

// HTTP statuses that the edge itself answers with.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
// The request carries no valid key. It has not run.
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusBodyTooLarge = 413;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusHeadersTooLarge = 431;
inline constexpr int kStatusNotImplemented = 501;
inline constexpr int kStatusBadGateway = 502;
// The request has not run and will not run.
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// Header of answers with kStatusUnauthorized (RFC 9110, section 11.6.1).
inline constexpr std::string_view kChallengeHeader =
    "WWW-Authenticate: Bearer\r\n";

// Whether `status` tells the client that its request has not run and will not
// run. The edge gives such a status to a request that may run at most once only
// if it knows that.
constexpr bool StatesNotRun(int status) {
  return status == kStatusRequestTimeout || status == kMisdirectedStatus ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

// Cause of requests that end because their key was withdrawn.
inline constexpr std::string_view kCauseKeyWithdrawn = "key_withdrawn";

using AnswerCallback = std::function<void(const ClientAnswer&)>;

class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    std::shared_ptr<const BoundTable> routes;
    const BoundRoute* route = nullptr;
    ClientRequest request;
    // The team whose key the client presented; none if the configuration has
    // no teams or the route is public.
    TeamTable::Match team;
    // The request has a token of the team's quota.
    bool has_quota_token = false;
    TimePoint started_at{};  // When the request had been read.
    // Network time of the request and its answer, which the client's latency
    // includes.
    Duration client_round_trip{};
    AnswerCallback answer;
  };

  explicit RequestSession(Options options);
  virtual ~RequestSession() = default;
  RequestSession(const RequestSession&) = delete;
  RequestSession& operator=(const RequestSession&) = delete;

  virtual void Start() = 0;

  // Ends the session without an answer, because the client disconnected.
  void Cancel();
  // Ends the session with an answer, as if its deadline had passed.
  void Expire();
  // Keys were withdrawn; ends the work for this request, as far as none of it
  // has been sent, if its key is among them.
  void OnKeysWithdrawn();

 protected:
  // Answers the request, because its deadline has passed.
  virtual void OnDeadline() = 0;
  // Stops all work for this request.
  virtual void AbandonAttempts() = 0;
  // Ends the work that has not been sent, because the key was withdrawn.
  virtual void OnKeyWithdrawn() = 0;
  // Details for the log: "key=value" pairs, separated by spaces.
  virtual std::string LogDetails() const = 0;

  // Ends the session. `outcome` is complete, partial, refused or failed.
  void Finish(const ClientAnswer& answer, std::string_view outcome,
              std::string_view cause);

  // Whether the routes in force no longer give the client's key to the team
  // under which the request began. Nothing is sent for it then.
  bool is_key_withdrawn() const;
  // Answers a request that has not run and whose key was withdrawn.
  void RefuseWithdrawnKey();

  AttemptPtr MakeAttempt(TimePoint attempt_deadline, Duration mean_latency,
                         bool keep_headers) const;

  EdgeCore& core() const { return *options_.core; }
  const RouteSpec& spec() const { return *options_.route->spec; }
  const BoundRoute& route() const { return *options_.route; }
  const ClientRequest& request() const { return options_.request; }
  const Team* team() const { return options_.team.team; }
  // The team's priority, or else the route's.
  std::int64_t priority() const { return PriorityOf(spec(), team()); }
  // The team among those that share capacity that is short; empty if there is
  // none or they do not.
  std::string_view sharing_team() const {
    return SharingTeamOf(core(), team());
  }
  const OutboundRequest& outbound() const { return *outbound_; }
  TimePoint started_at() const { return options_.started_at; }
  Duration client_round_trip() const { return options_.client_round_trip; }
  // The latest time for an answer: the client's deadline or the route's
  // timeout, whichever is earlier, less a margin for the way back; earlier if
  // the daemon stops.
  TimePoint deadline() const { return deadline_; }
  bool finished() const { return finished_; }

 private:
  // Returns the token of the quota if nothing was sent.
  void GiveTokenBack();
  void Log(int status, std::string_view outcome, std::string_view cause);

  Options options_;
  std::shared_ptr<const OutboundRequest> outbound_;
  TimePoint deadline_{};
  bool finished_ = false;
};

// Creates the session for a route and starts it.
std::shared_ptr<RequestSession> StartSession(RequestSession::Options options);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_REQUEST_SESSION_H_
