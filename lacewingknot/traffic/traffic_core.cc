#include "lacewingknot/traffic/traffic_core.h"

#include <boost/asio/post.hpp>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/traffic/sessions.h"

namespace lacewingknot {
namespace {

// Upper limit of the deadlines that callers and peers may ask for.
constexpr Duration kMaxDeadline = std::chrono::seconds(60);

UpstreamTable::Options TableOptions(const TrafficCore::Options& options) {
  return {.fleet = {.self = options.vm, .lease = FleetSettings().view_lease},
          .seed = options.seed};
}

}  // namespace

TrafficCore::TrafficCore(boost::asio::io_context& io, Blackboard& board,
                         Metrics& metrics, Options options)
    : io_(io),
      board_(board),
      metrics_(metrics),
      options_(std::move(options)),
      table_(TableOptions(options_)),
      pool_(io, table_,
            {.clock = options_.clock,
             .refresh = [this] { ApplyPublishedSections(); }}),
      relay_client_(io, options_.send_to_peer),
      relay_server_(io, options_.send_to_peer,
                    [this](const RelayedAttempt& item, RelayClient::Done done) {
                      RunRelayed(item, std::move(done));
                    }) {}

TrafficCore::~TrafficCore() = default;

void TrafficCore::ApplyPublishedSections() {
  if (board_.settings.generation() != seen_settings_generation_) {
    seen_settings_generation_ = board_.settings.generation();
    const auto section = board_.settings.Read();
    if (section->settings != table_.settings()) {
      table_.ApplySettings(section->settings);
    }
  }
  if (board_.vm_list.generation() != seen_list_generation_) {
    seen_list_generation_ = board_.vm_list.generation();
    const auto section = board_.vm_list.Read();
    table_.ApplyVmList(section->list, Now());
    table_.fleet().OnConfirmed(section->list->revision, section->confirmed_at);
    table_.fleet().OnPeerRevision(section->highest_peer_revision);
  }
  if (board_.permit.generation() != seen_permit_generation_) {
    seen_permit_generation_ = board_.permit.generation();
    table_.set_permit_until(board_.permit.Read()->until);
  }
}

Duration TrafficCore::AttemptTimeout(Duration wanted) const {
  // One lease after the VM list has changed, a new owner of a cold upstream
  // starts to send to it. Attempts of the former owner must have ended by then.
  return std::min(wanted, table_.settings()->fleet.view_lease);
}

Result<void> TrafficCore::CheckAdmission() const {
  if (refuses_new_work_) return Error{ErrorType::kDraining, options_.vm};
  if (table_.settings() == nullptr) {
    return Error{ErrorType::kNotReady, "no settings are in force yet"};
  }
  if (session_count_ >= options_.max_sessions) {
    return Error{ErrorType::kOverloaded, options_.vm};
  }
  const auto permit = board_.permit.Read();
  if (permit == nullptr || Now() > permit->until) {
    return Error{
        ErrorType::kNotReady,
        "the permit has expired: settings and VM list are not confirmed"};
  }
  return Ok();
}

TrafficCore::ServiceState& TrafficCore::StateOf(const std::string& service) {
  return services_[service];
}

std::string TrafficCore::WireId(AttemptId attempt) const {
  return options_.vm + "." + options_.boot_id + "." + std::to_string(attempt);
}

void TrafficCore::Query(const QueryRequest& request, QueryDone done) {
  ApplyPublishedSections();
  const auto refuse = [&](const Error& error) {
    metrics_.OnRefusal(request.service, error.type);
    LogEvent(Event::kQueryRefused, {{"service", request.service},
                                    {"type", ErrorTypeName(error.type)}});
    done(error);
  };
  if (const auto admitted = CheckAdmission(); !admitted) {
    refuse(admitted.error());
    return;
  }
  auto shards = table_.Shards(request.service);
  if (!shards) {
    refuse(shards.error());
    return;
  }
  const ServicePolicy policy =
      table_.settings()->EffectivePolicy(request.service);
  ServiceState& service = StateOf(request.service);
  const Duration deadline =
      std::min(request.deadline.value_or(policy.deadline), kMaxDeadline);
  constexpr double kMedian = 0.5;
  const auto median = service.latency.Quantile(kMedian);
  if (median && deadline < *median) {
    refuse({ErrorType::kDeadlineTooShort,
            FormatDuration(deadline) +
                " is shorter than the median latency of an attempt"});
    return;
  }
  service.budget.set_limits(
      {.fraction = policy.extra_load,
       .burst = static_cast<double>(policy.extra_load_burst)});
  const Duration partial = request.partial_after.value_or(policy.partial_after);
  const TimePoint now = Now();
  QuerySpec spec{
      .shards = std::move(shards.value()),
      .deadline = now + deadline,
      .partial_at = partial > Duration::zero() ? now + partial : now + deadline,
      .attempt_timeout = AttemptTimeout(policy.attempt_timeout),
      .hedging = policy.hedging};
  ++session_count_;
  std::make_shared<QuerySession>(*this, request, std::move(spec),
                                 std::move(done))
      ->Start();
}

void TrafficCore::Write(const WriteRequest& request, WriteDone done) {
  ApplyPublishedSections();
  const auto refuse = [&](const Error& error) {
    metrics_.OnRefusal(request.service, error.type);
    done(error);
  };
  if (const auto admitted = CheckAdmission(); !admitted) {
    refuse(admitted.error());
    return;
  }
  auto shards = table_.Shards(request.service);
  if (!shards) {
    refuse(shards.error());
    return;
  }
  if (shards.value().size() != 1) {
    refuse({ErrorType::kInvalidRequest,
            "a write requires a service with exactly one shard"});
    return;
  }
  if (const auto begun = write_deduplicator_.TryBegin(request.id, Now());
      !begun) {
    refuse(begun.error());
    return;
  }
  const ServicePolicy policy =
      table_.settings()->EffectivePolicy(request.service);
  const Duration deadline =
      std::min(request.deadline.value_or(policy.deadline), kMaxDeadline);
  WriteSpec spec{.shard = std::move(shards.value().front()),
                 .deadline = Now() + deadline};
  ++session_count_;
  std::make_shared<WriteSession>(*this, request, std::move(spec),
                                 std::move(done))
      ->Start();
}

void TrafficCore::SendQuery(const SendAction& action, const ShardTarget& shard,
                            const std::string& query, std::string_view service,
                            RelayClient::Done done) {
  auto counted_done = [this, service = std::string(service), started_at = Now(),
                       done = std::move(done)](
                          Result<Part> part,
                          std::vector<IndexVersion> versions) {
    if (part) {
      StateOf(service).latency.Add(Now() - started_at);
    } else {
      metrics_.OnAttemptFailure(service, part.error().type);
    }
    done(std::move(part), std::move(versions));
  };
  if (action.route.relay != nullptr) {
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(action.timeout);
    relay_client_.Submit(
        action.route.relay->peer_address,
        {.attempt = action.attempt,
         .upstream = std::string(table_.name(action.route.upstream)),
         .shard = shard.shard,
         .version = action.version,
         .time_left_us = micros.count(),
         .query = query},
        std::move(counted_done));
    return;
  }
  SendDirect(action.attempt, action.route.upstream,
             {.attempt = WireId(action.attempt),
              .shard = shard.shard,
              .version = action.version,
              .query = query},
             action.timeout, std::move(counted_done));
}

void TrafficCore::SendDirect(AttemptId attempt, UpstreamHandle upstream,
                             const SubRequest& request, Duration timeout,
                             RelayClient::Done done) {
  auto make_call = [request](Duration time_left) {
    SubRequest timed = request;
    timed.time_left = time_left;
    return MakeQueryCall(timed);
  };
  pool_.Submit(
      attempt, upstream, timeout, std::move(make_call),
      [this, upstream, request, done = std::move(done)](CallResult result) {
        if (!result.reply) {
          done(result.reply.error(), {});
          return;
        }
        std::vector<IndexVersion> versions;
        Result<SubAnswer> answer =
            ParseQueryReply(request, result.reply.value(), versions);
        if (!answer) {
          const ErrorType type = answer.error().type;
          table_.OnFailure(upstream, type, versions, Now());
          if (type == ErrorType::kMismatchedAnswer ||
              type == ErrorType::kMalformedAnswer) {
            LogEvent(Event::kAnswerRejected,
                     {{"upstream", table_.name(upstream)},
                      {"type", ErrorTypeName(type)}});
          }
          done(answer.error(), std::move(versions));
          return;
        }
        table_.OnAnswer(upstream,
                        {.instance = answer.value().instance,
                         .versions = versions,
                         .latency = result.latency},
                        Now());
        done(std::move(answer.value().part), {});
      });
}

void TrafficCore::RunRelayed(const RelayedAttempt& item,
                             RelayClient::Done done) {
  ApplyPublishedSections();
  const auto upstream = table_.Find(item.upstream);
  const auto time_left = std::chrono::microseconds(item.time_left_us);
  if (!upstream || refuses_new_work_ || time_left <= Duration::zero() ||
      time_left > kMaxDeadline) {
    boost::asio::post(io_, [done = std::move(done)] {
      done(Error{ErrorType::kNoUsableUpstream,
                 "the relay cannot run the sub-request"},
           {});
    });
    return;
  }
  metrics_.OnRelayed(1);
  const AttemptId attempt = NextAttempt();
  SendDirect(attempt, *upstream,
             {.attempt = WireId(attempt),
              .shard = item.shard,
              .version = item.version,
              .query = item.query},
             AttemptTimeout(time_left), std::move(done));
}

void TrafficCore::CancelAttempt(AttemptId attempt) {
  pool_.CancelIfUnsent(attempt);
  relay_client_.Cancel(attempt);
}

void TrafficCore::OnRelayRequest(const std::string& reply_to,
                                 const RelayRequest& request) {
  relay_server_.OnRequest(reply_to, request);
}

void TrafficCore::OnRelayReply(const RelayReply& reply) {
  relay_client_.OnReply(reply);
}

void TrafficCore::OnPeerReport(const std::string& upstream,
                               const WarmupReport& report) {
  table_.OnPeerReport(upstream, report);
}

void TrafficCore::PublishWarmupReports() {
  ApplyPublishedSections();
  WarmupReportsSection section;
  for (auto& [upstream, report] : table_.WarmupReports()) {
    section.reports.push_back({std::string(upstream), std::move(report)});
  }
  for (std::string_view upstream : table_.UpstreamsNeedingReports(Now())) {
    section.requested_upstreams.emplace_back(upstream);
  }
  board_.warmup_reports.Publish(std::move(section));
}

std::vector<UpstreamStatus> TrafficCore::StatusOf(std::string_view service) {
  ApplyPublishedSections();
  std::vector<UpstreamStatus> all;
  const auto shards = table_.Shards(service);
  if (!shards) return all;
  for (const ShardTarget& shard : shards.value()) {
    for (UpstreamHandle replica : shard.replicas) {
      all.push_back(table_.Status(replica, Now()));
    }
  }
  return all;
}

}  // namespace lacewingknot
