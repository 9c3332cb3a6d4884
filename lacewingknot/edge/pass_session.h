// A request that one upstream answers.
//
// The upstream's answer goes back unchanged. After a byte may have left, only
// an idempotent request is tried again, unless the upstream says that it did
// not run it.

#ifndef LACEWINGKNOT_EDGE_PASS_SESSION_H_
#define LACEWINGKNOT_EDGE_PASS_SESSION_H_

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
  // Refusals by upstreams that one request bears; more say that the service
  // is overloaded.
  static constexpr std::int64_t kMaxRefusals = 3;

  void AbandonAttempts() override;
  std::string LogDetails() const override;

  bool Place(AttemptKind kind, TimePoint now);
  void OnResult(const AttemptPtr& attempt, AttemptKind kind,
                AttemptResult result);
  void OnAnswer(AttemptResult result, TimePoint now);
  bool MayRunAgain() const;
  void OnDeadline();
  void Refuse(std::string_view cause);

  ServicePtr service_;
  std::vector<UpstreamPtr> tried_;
  AttemptPtr live_;  // At the last one tried.
  TimerQueue::Id deadline_timer_;
  std::int64_t runs_ = 0;  // Attempts that ran or may have run.
  std::int64_t refusals_ = 0;
  std::string_view last_cause_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_PASS_SESSION_H_
