// A request that is passed on to one upstream.
//
// The upstream's answer is passed back unchanged, with two exceptions that end
// as kStatusBadGateway: a success that is not signed, and a status that would
// tell the client that its request, which may run at most once, has not run
// although the upstream does not state that.
//
// Once a byte of the request may have been sent, the request is retried only if
// it is idempotent or the upstream states that it did not run it.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_PASS_SESSION_H_
#define LACEWINGKNOT_EDGE_PASS_SESSION_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/edge/request_session.h"

namespace lacewingknot::edge {

class PassSession : public RequestSession {
 public:
  using RequestSession::RequestSession;

  void Start() override;

 private:
  // A service whose upstreams refuse one request more often than this counts as
  // overloaded.
  static constexpr std::int64_t kMaxRefusals = 3;

  void OnDeadline() override;
  void AbandonAttempts() override;
  void OnKeyWithdrawn() override;
  std::string LogDetails() const override;

  // Returns false if there is no upstream, or no extra-load budget for a retry.
  bool StartAttempt(AttemptKind kind, TimePoint now);
  // Waits for an upstream that takes requests again. Returns false if none is
  // expected in time, or if other reasons than what they say of themselves keep
  // the upstreams from the request.
  bool Wait(AttemptKind kind, TimePoint now);
  // Called when it is this request's turn; returns whether waiting has ended.
  bool OnTurn(AttemptKind kind, TimePoint now);
  void OnResult(const AttemptPtr& attempt, AttemptKind kind,
                AttemptResult result);
  void OnAnswer(AttemptResult result, TimePoint now);
  // Why `reply` must not be passed back, for the log; empty if it may be.
  std::string_view WithheldAnswerCause(const UpstreamReply& reply) const;
  // Whether another attempt is safe: the request cannot have run, or it is
  // idempotent and has attempts left. A request whose key was withdrawn is not
  // sent again.
  bool CanRunAgain() const;
  void Refuse(std::string_view cause);

  ServicePtr service_;
  std::vector<UpstreamPtr> tried_;
  // Upstreams before this position in `tried_` may be tried again.
  std::size_t first_excluded_ = 0;
  std::optional<WaitingRequests::Id> waiting_;
  AttemptPtr in_flight_;  // At the last upstream of `tried_`.
  TimerQueue::Id deadline_timer_;
  std::int64_t runs_ = 0;  // Attempts that ran or may have run.
  std::int64_t refusals_ = 0;
  std::string_view last_cause_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_PASS_SESSION_H_
