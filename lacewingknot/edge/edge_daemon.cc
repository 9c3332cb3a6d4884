#include "lacewingknot/edge/edge_daemon.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/explanation.h"
#include "lacewingknot/edge/request_explanation.h"
#include "lacewingknot/edge/team_report.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

namespace {

// The wait for an explanation blocks the thread that also answers the
// balancer's readiness checks, once a second.
constexpr std::chrono::milliseconds kExplainTimeout{250};

ControlReply TrafficThreadSlow() {
  return {.status = 503, .body = "traffic thread did not respond in time\n"};
}

}  // namespace

EdgeDaemon::EdgeDaemon(Options options)
    : options_(std::move(options)),
      core_({.io = &traffic_io_,
             .names = options_.names,
             .metrics = &metrics_,
             .vm = options_.settings.vm,
             .data_centre = options_.settings.data_centre,
             .extra_ratio = options_.settings.extra_ratio,
             .extra_attempts = options_.settings.extra_attempts,
             .disabled = options_.settings.disabled_mechanisms,
             .concurrency_limit = options_.settings.concurrency_limit,
             .on_upstreams_lacking = options_.on_upstreams_lacking,
             .on_statements =
                 [this](std::vector<StatementReport> reports) {
                   SpreadStatements(std::move(reports));
                 },
             .quota_bounds = options_.settings.quota_bounds,
             .address = options_.settings.gossip_listen,
             .on_quota_messages = MakeQuotaSender(),
             .on_demands =
                 [this](std::vector<DemandReport> reports) {
                   SendDemands(std::move(reports));
                 }}),
      server_({.core = &core_,
               .listen = options_.settings.listen,
               .stop_grace = options_.settings.stop_grace}),
      relay_server_(
          {.core = &core_, .listen = options_.settings.gossip_listen}),
      control_(control_io_) {}

Result<void> EdgeDaemon::Start() {
  constexpr unsigned kOk = 200;
  constexpr unsigned kUnavailable = 503;
  control_.Handle(options_.readiness_path, [this](std::string_view) {
    const bool ready = IsReady();
    return ControlReply{.status = ready ? kOk : kUnavailable,
                        .body = ready ? "ready\n" : "not ready\n"};
  });
  control_.Handle("/metrics", [this](std::string_view) {
    return ControlReply{.body = metrics_.Render()};
  });
  control_.Handle("/status", [this](std::string_view) {
    return ControlReply{.content_type = "application/json", .body = Status()};
  });
  control_.Handle("/explain", [this](std::string_view query) {
    constexpr std::string_view kParameter = "service=";
    if (!query.starts_with(kParameter)) {
      return ControlReply{.status = 400,
                          .body = "missing query parameter: ?service=NAME\n"};
    }
    return Explain(query.substr(kParameter.size()));
  });
  control_.HandleRequest("/explain-request",
                         [this](const ControlRequest& request) {
                           return ExplainRequestOf(request);
                         });
  control_.Handle("/teams", [this](std::string_view) { return Teams(); });
  const EdgeSettings& settings = options_.settings;
  for (const std::string& address :
       {settings.readiness_listen, settings.control_listen,
        settings.metrics_listen}) {
    if (address.empty()) continue;
    if (const auto listening = control_.Listen(address); !listening) {
      return listening.error();
    }
  }
  if (const auto listening = server_.Listen(); !listening) {
    return listening.error();
  }
  if (const auto gossiping = StartGossip(); !gossiping) {
    return gossiping.error();
  }
  for (asio::io_context* io : {&traffic_io_, &control_io_}) {
    std::thread([io] {
      const auto work = asio::make_work_guard(*io);
      io->run();
    }).detach();
  }
  RunOnTrafficThread([this] { core_.StartPreconnecting(); });
  LogEvent(
      Event::kDaemonStarted,
      {{"vm", settings.vm},
       {"data_centre", settings.data_centre},
       {"listen", settings.listen},
       {"store", settings.store},
       {"disabled_mechanisms", MechanismNames(settings.disabled_mechanisms)}});
  return Ok();
}

Result<void> EdgeDaemon::StartGossip() {
  const EdgeSettings& settings = options_.settings;
  if (settings.gossip_listen.empty()) return Ok();
  if (const auto listening = relay_server_.Listen(); !listening) {
    return listening.error();
  }
  // The settings list peers by their control addresses; all daemons use the
  // same gossip port.
  const std::string port =
      settings.gossip_listen.substr(settings.gossip_listen.rfind(':'));
  std::vector<std::string> seeds;
  for (const std::string& peer : settings.peers) {
    seeds.push_back(peer.substr(0, peer.rfind(':')) + port);
  }
  const auto started = BootClock::now().time_since_epoch();
  gossip_.emplace(
      control_io_,
      PeerGossip::Options{
          .listen = settings.gossip_listen,
          .seeds = std::move(seeds),
          // The VM's uptime, because it increases from one start of the
          // process to the next, while the time of day may go back.
          .incarnation = static_cast<std::uint64_t>(ToMillis(started)),
          .random_seed = std::random_device()(),
          .data_centre = settings.data_centre,
          .processor_share = settings.processor_share,
          .on_fleet_size = [this](std::size_t size) { OnFleetSize(size); },
          .on_members =
              [this](std::span<const Member> members) { OnMembers(members); },
          .on_store_report = options_.on_store_report,
          .on_store_confirmed_at = options_.on_store_confirmed_at,
          .on_statements =
              [this](std::vector<StatementReport> reports, std::string from) {
                if (!shares_statements()) return;
                RunOnTrafficThread([this, reports = std::move(reports),
                                    from = std::move(from)] {
                  core_.ApplyStatements(reports, from);
                });
              },
          .on_demand_sums =
              [this](std::vector<DemandSum> sums) {
                RunOnTrafficThread([this, sums = std::move(sums)] {
                  core_.ApplyDemandSums(sums);
                });
              },
          .quota_bounds = settings.quota_bounds,
          .on_quota_messages =
              [this](std::string from, std::vector<QuotaMessage> messages) {
                RunOnTrafficThread([this, from = std::move(from),
                                    messages = std::move(messages)] {
                  core_.team_quotas()->OnMessages(from, messages);
                });
              },
          .on_quota_members =
              [this](std::vector<Member> members, bool is_whole_fleet) {
                RunOnTrafficThread(
                    [this, members = std::move(members), is_whole_fleet] {
                      core_.team_quotas()->SetMembers(members, is_whole_fleet);
                    });
              },
          .on_quota_takeover =
              [this](const std::string& team) {
                metrics_.OnQuotaTakeover();
                LogEvent(Event::kQuotaKeeperReplaced, {{"team", team}});
              },
          .on_quota_contact =
              [](bool may_grant) {
                LogEvent(Event::kQuotaContactChanged,
                         {{"may_grant", may_grant ? "yes" : "no"}});
              },
          .on_quota_message_dropped =
              [this] { metrics_.OnQuotaMessageDropped(); },
          .on_statements_wanted =
              [this](const std::string& address) { SendStatements(address); }});
  if (passes_contents()) StartContentsServer();
  return gossip_->Start();
}

void EdgeDaemon::StartContentsServer() {
  contents_server_.emplace(
      control_io_,
      ContentsServer::Options{.gossip_address = options_.settings.gossip_listen,
                              .on_sent = [this](std::string_view kind) {
                                metrics_.OnContentsMessage("sent", kind);
                              }});
  const auto started = contents_server_->Start();
  if (started) return;
  // Followers that choose this daemon go on to another one.
  LogEvent(Event::kContentsRefused, {{"reason", started.error().detail}});
}

bool EdgeDaemon::passes_contents() const {
  return options_.settings.store_contents_by_peers &&
         !options_.settings.gossip_listen.empty() &&
         !options_.settings.disabled_mechanisms.Contains(
             Mechanism::kContentsByPeers);
}

ContentsPeers EdgeDaemon::contents_peers() const {
  return gossip_ ? gossip_->contents_peers() : ContentsPeers();
}

void EdgeDaemon::PublishContents(ContentsUpdate update) {
  metrics_.set_store_confirmed_at(update.report.confirmed_at);
  if (contents_server_) contents_server_->Publish(std::move(update));
}

void EdgeDaemon::OnContentsFromPeer(bool from_peer) {
  metrics_.set_contents_from_peer(from_peer);
  if (gossip_) gossip_->set_follows_source(from_peer);
}

void EdgeDaemon::OnFleetSize(std::size_t size) {
  fleet_size_ = size;
  RunOnTrafficThread([this, size] { core_.set_fleet_size(size); });
}

void EdgeDaemon::OnMembers(std::span<const Member> members) {
  RelayCandidates candidates;
  for (const Member& member : members) {
    candidates[member.data_centre].push_back(
        {.address = member.address, .processor_share = member.processor_share});
  }
  if (candidates == candidates_) return;
  candidates_ = candidates;
  RunOnTrafficThread([this, candidates = std::move(candidates)] {
    core_.set_members(candidates, options_.settings.gossip_listen);
  });
}

bool EdgeDaemon::shares_statements() const {
  return gossip_ && !options_.settings.disabled_mechanisms.Contains(
                        Mechanism::kStatementExchange);
}

void EdgeDaemon::SpreadStatements(std::vector<StatementReport> reports) {
  if (!shares_statements()) return;
  has_statements_ = true;
  asio::post(control_io_, [this, reports = std::move(reports)] {
    gossip_->SpreadStatements(reports);
  });
}

void EdgeDaemon::SendDemands(std::vector<DemandReport> reports) {
  if (!shares_statements()) return;
  asio::post(control_io_, [this, reports = std::move(reports)] {
    gossip_->SendDemands(reports);
  });
}

void EdgeDaemon::SendStatements(const std::string& address) {
  if (!shares_statements() || !has_statements_) return;
  RunOnTrafficThread([this, address] {
    asio::post(control_io_,
               [this, address,
                reports = core_.LatestStatements(GossipMessage::kMaxStatements,
                                                 BootClock::now())] {
                 gossip_->SendStatements(address, reports);
               });
  });
}

void EdgeDaemon::SetStoreConfirmed(const StoreReport& report) {
  metrics_.set_store_epoch(report.epoch);
  if (gossip_) gossip_->SetStoreConfirmed(report);
}

void EdgeDaemon::RunOnTrafficThread(std::function<void()> run) {
  asio::post(traffic_io_, std::move(run));
}

std::function<void(std::vector<OutgoingQuotaMessage>)>
EdgeDaemon::MakeQuotaSender() {
  if (options_.settings.gossip_listen.empty()) return {};
  return [this](std::vector<OutgoingQuotaMessage> messages) {
    asio::post(control_io_, [this, messages = std::move(messages)] {
      if (gossip_) gossip_->SendQuotaMessages(messages);
    });
  };
}

void EdgeDaemon::OnRoutes(std::shared_ptr<const RoutingTable> table) {
  routes_.Publish(table);
  if (options_.settings.quota_bounds) {
    asio::post(control_io_, [this, quotas = QuotasOf(table->teams())] {
      if (gossip_) gossip_->SetQuotas(quotas);
    });
  }
  RunOnTrafficThread(
      [this, table = std::move(table)] { core_.ApplyRouting(table); });
  UpdateReadiness();
}

void EdgeDaemon::OnDirectory(std::shared_ptr<const Directory> directory) {
  directory_.Publish(directory);
  RunOnTrafficThread([this, directory = std::move(directory)]() mutable {
    core_.ApplyDirectory(std::move(directory));
  });
  UpdateReadiness();
}

bool EdgeDaemon::IsReady() const {
  return !is_draining_ && routes_.generation() > 0 &&
         directory_.generation() > 0;
}

void EdgeDaemon::UpdateReadiness() {
  const bool ready = IsReady();
  metrics_.set_ready(ready);
  if (was_ready_.exchange(ready) == ready) return;
  LogEvent(ready ? Event::kDaemonReady : Event::kDaemonNotReady,
           {{"vm", options_.settings.vm},
            {"reason", ready ? "routes and upstreams are known" : "stopping"}});
}

std::string EdgeDaemon::Status() const {
  nlohmann::json status{
      {"vm", options_.settings.vm},
      {"data_centre", options_.settings.data_centre},
      {"ready", IsReady()},
      {"fleet_size", fleet_size_.load()},
      {"draining", is_draining_.load()},
      {"store_sentinel", is_sentinel()},
      {"disabled_mechanisms",
       MechanismNames(options_.settings.disabled_mechanisms)}};
  if (const auto routes = routes_.Read()) {
    status["config_version"] = (*routes)->version();
    status["config_revision"] = (*routes)->revision();
    status["routes"] = (*routes)->routes().size();
  }
  if (const auto directory = directory_.Read()) {
    status["upstreams"] = (*directory)->upstreams.size();
    status["upstreams_revision"] = (*directory)->revision;
    status["upstreams_age_ms"] =
        ToMillis(BootClock::now() - (*directory)->confirmed_at);
    status["evacuated"] = (*directory)->evacuated;
  }
  const TimePoint now = BootClock::now();
  if (const auto age = metrics_.StoreConfirmationAge(now)) {
    status["store_confirmation_age_ms"] = ToMillis(*age);
  }
  if (gossip_) {
    const StoreReport report = gossip_->LatestStoreReport();
    status["store_epoch"] = report.epoch;
    status["store_revision"] = report.state.until;
    status["store_digest"] = report.state.digest;
    status["store_read_age_ms"] = ToMillis(now - report.unbroken_since);
  }
  return status.dump() + "\n";
}

template <typename Answer>
std::optional<Answer> EdgeDaemon::AskTrafficThread(
    std::function<Answer()> compute) {
  // The traffic thread shares the promise, which outlives this call if that
  // thread is slow.
  const auto promise = std::make_shared<std::promise<Answer>>();
  auto answer = promise->get_future();
  RunOnTrafficThread([promise, compute = std::move(compute)] {
    promise->set_value(compute());
  });
  if (answer.wait_for(kExplainTimeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return answer.get();
}

ControlReply EdgeDaemon::Explain(std::string_view service) {
  const auto explanation = AskTrafficThread<std::optional<ServiceExplanation>>(
      [this, name = std::string(service)] {
        return ExplainService(core_, name, BootClock::now());
      });
  if (!explanation) return TrafficThreadSlow();
  if (!*explanation) return {.status = 404, .body = "unknown service\n"};
  return {.content_type = "application/json", .body = ToJson(**explanation)};
}

ControlReply EdgeDaemon::ExplainRequestOf(const ControlRequest& request) {
  const auto host = QueryParameter(request.query, "host");
  const auto path = QueryParameter(request.query, "path");
  if (!host || !path) {
    return {.status = 400,
            .body = "missing query parameter: ?host=HOST&path=PATH\n"};
  }
  const auto explanation = AskTrafficThread<RequestExplanation>(
      [this, asked = RequestToExplain{.host = *host,
                                      .target = *path,
                                      .credentials = request.credentials}] {
        return ExplainRequest(core_, asked, BootClock::now());
      });
  if (!explanation) return TrafficThreadSlow();
  return {.content_type = "application/json", .body = ToJson(*explanation)};
}

ControlReply EdgeDaemon::Teams() {
  const auto report = AskTrafficThread<std::string>([this] {
    const auto routes = core_.routes();
    return TeamsToJson(routes ? routes->table->teams() : TeamTable(),
                       core_.team_quotas(), BootClock::now());
  });
  if (!report) return TrafficThreadSlow();
  return {.content_type = "application/json", .body = *report};
}

void EdgeDaemon::Reload(const EdgeSettings& settings) {
  ConfigureLogging(settings.log_level, settings.vm);
  LogEvent(Event::kDaemonSettingsReloaded, {{"vm", settings.vm}});
}

void EdgeDaemon::Drain() {
  is_draining_ = true;
  LogEvent(Event::kDrainStarted,
           {{"grace_ms", ToMillis(options_.settings.stop_grace)}});
  UpdateReadiness();
  if (gossip_) gossip_->AnnounceStop();
  if (contents_server_) contents_server_->Stop();
  RunOnTrafficThread([this] {
    relay_server_.AnnounceStop();
    server_.Drain([this] {
      const std::lock_guard lock(mutex_);
      is_drained_ = true;
      drained_cv_.notify_all();
    });
  });
  std::unique_lock lock(mutex_);
  drained_cv_.wait(lock, [this] { return is_drained_; });
  LogEvent(Event::kDaemonStopped, {{"vm", options_.settings.vm}});
}

}  // namespace lacewingknot::edge
