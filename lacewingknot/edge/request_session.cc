#include "lacewingknot/edge/request_session.h"

#include <algorithm>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/pass_session.h"
#include "lacewingknot/edge/request_decisions.h"
#include "lacewingknot/edge/scatter_session.h"

namespace lacewingknot::edge {
namespace {

std::shared_ptr<const OutboundRequest> MakeOutbound(
    const ClientRequest& request, const HeaderNames& names, const Team* team) {
  auto outbound = std::make_shared<OutboundRequest>();
  std::string& head = outbound->head;
  head.reserve(request.method.size() + request.target.size() +
               request.host.size() + request.forwarded_headers.size() + 64);
  head += request.method;
  head += ' ';
  head += request.target;
  head += " HTTP/1.1\r\nHost: ";
  head += request.host;
  head += "\r\n";
  head += request.forwarded_headers;
  if (team != nullptr) {
    head += names.team;
    head += ": ";
    head += team->name;
    head += "\r\n";
  }
  if (request.has_body) {
    head += "Content-Length: ";
    head += std::to_string(request.body.size());
    head += "\r\n";
  }
  outbound->body = request.body;
  outbound->request_id = request.request_id;
  outbound->answer_has_no_body = request.method == "HEAD";
  return outbound;
}

}  // namespace

RequestSession::RequestSession(Options options)
    : options_(std::move(options)),
      outbound_(MakeOutbound(options_.request, options_.core->names(),
                             options_.team.team)) {
  deadline_ = AnswerDeadline(core(), spec(), request().time_left, started_at());
}

void RequestSession::Expire() {
  deadline_ = std::min(deadline_, BootClock::now());
  OnDeadline();
}

void RequestSession::Cancel() {
  if (finished_) return;
  finished_ = true;
  constexpr int kNoStatus = 0;
  Log(kNoStatus, "abandoned", "client_left");
  options_.answer = nullptr;
  AbandonAttempts();
  GiveTokenBack();
}

void RequestSession::Finish(const ClientAnswer& answer,
                            std::string_view outcome, std::string_view cause) {
  if (finished_) return;
  finished_ = true;
  const int status = answer.status;
  auto callback = std::exchange(options_.answer, nullptr);
  if (callback) callback(answer);
  Log(status, outcome, cause);
  AbandonAttempts();
  GiveTokenBack();
}

void RequestSession::GiveTokenBack() {
  TeamQuotas* quotas = core().team_quotas();
  if (!options_.has_quota_token || outbound_->was_sent || quotas == nullptr) {
    return;
  }
  quotas->GiveBack(team()->name);
}

void RequestSession::OnKeysWithdrawn() {
  if (!finished_ && is_key_withdrawn()) OnKeyWithdrawn();
}

bool RequestSession::is_key_withdrawn() const {
  if (team() == nullptr) return false;
  const std::shared_ptr<const BoundTable> current = core().routes();
  if (current == options_.routes) return false;
  const TeamTable& teams = current->table->teams();
  if (teams.empty()) return false;
  const Team* owner = teams.FindDigest(options_.team.key);
  return owner == nullptr || owner->name != team()->name;
}

void RequestSession::RefuseWithdrawnKey() {
  LogEvent(Event::kWaitingRequestUnauthorized,
           {{"id", request().request_id},
            {"route", spec().name},
            {"team", team()->name},
            {"config", core().routes()->table->version()},
            {"ms", ToMillis(BootClock::now() - started_at())}});
  core().metrics().OnUnauthorized(kCauseKeyWithdrawn);
  Finish(
      {.status = kStatusUnauthorized, .headers = std::string(kChallengeHeader)},
      "refused", kCauseKeyWithdrawn);
}

AttemptPtr RequestSession::MakeAttempt(TimePoint attempt_deadline,
                                       Duration mean_latency,
                                       bool keep_headers) const {
  auto attempt = std::make_shared<Attempt>();
  attempt->request = outbound_;
  attempt->deadline = attempt_deadline;
  attempt->mean_latency = mean_latency;
  attempt->priority = priority();
  attempt->keep_headers = keep_headers;
  return attempt;
}

void RequestSession::Log(int status, std::string_view outcome,
                         std::string_view cause) {
  const TimePoint now = BootClock::now();
  const Duration latency = now - started_at();
  core().metrics().OnRequest(spec().name, outcome, latency);
  if (team() != nullptr) core().metrics().OnTeamRequest(team()->name, outcome);
  const Directory* directory = core().directory();
  LogEvent(Event::kRequestEnded,
           {{"id", request().request_id},
            {"route", spec().name},
            {"team", team() == nullptr ? std::string_view("-") : team()->name},
            {"config", options_.routes->table->version()},
            {"upstreams_revision",
             directory == nullptr ? std::uint64_t{0} : directory->revision},
            {"upstreams_age_ms", directory == nullptr
                                     ? std::int64_t{-1}
                                     : ToMillis(now - directory->confirmed_at)},
            {"status", status},
            {"outcome", outcome},
            {"cause", cause},
            {"ms", ToMillis(latency)},
            {"lag_ms", ToMillis(core().timers().lag())},
            {"detail", LogDetails()}});
}

std::shared_ptr<RequestSession> StartSession(RequestSession::Options options) {
  std::shared_ptr<RequestSession> session;
  if (options.route->spec->is_scatter()) {
    session = std::make_shared<ScatterSession>(std::move(options));
  } else {
    session = std::make_shared<PassSession>(std::move(options));
  }
  session->Start();
  return session;
}

}  // namespace lacewingknot::edge
