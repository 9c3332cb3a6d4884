#include "lacewingknot/daemon/daemon.h"

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <random>
#include <thread>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/daemon/caller_api.h"
#include "lacewingknot/daemon/control_loop.h"
#include "lacewingknot/http/server.h"
#include "lacewingknot/peer/channel.h"
#include "lacewingknot/traffic/traffic_core.h"

namespace lacewingknot {
namespace {

namespace asio = boost::asio;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

// How often the traffic thread publishes the warm-up state of the upstreams for
// peers.
constexpr Duration kEvidenceInterval = std::chrono::milliseconds(100);

// How often a drain checks whether requests are still in progress.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(10);

// Limit on the wait for requests in progress; the longest accepted deadline.
constexpr Duration kMaxDrainTime = std::chrono::seconds(60);

// Identifies this run of the daemon.
std::string BootId(std::uint64_t seed) {
  return std::to_string(seed % 1'000'000'007) + "-" + std::to_string(getpid());
}

ServerReply TextReply(int status, std::string body) {
  return {
      .status = status, .content_type = "text/plain", .body = std::move(body)};
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(DaemonSettings settings);
  ~Impl() { StopThreads(); }

  Result<void> Start();
  void Drain();

 private:
  void OnPeerMessage(std::string_view bytes);
  void RouteRequest(const ServerRequest& request, Respond respond);
  void OnQueryRequest(const std::string& body, Respond respond);
  void OnWriteRequest(const std::string& body, Respond respond);
  void OnExplainRequest(const ServerRequest& request, Respond respond);
  void OnStatusRequest(Respond respond);
  void PublishEvidence();
  void StopThreads();
  Result<void> SendToPeer(const std::string& address, PeerMessageKind kind,
                          std::string body);

  // Runs `function` on the traffic thread, waits, and returns its result. Must
  // not be called on the traffic thread.
  template <typename Function>
  auto RunOnTrafficThread(Function function);

  DaemonSettings settings_;
  std::uint64_t seed_;
  Blackboard board_;
  Metrics metrics_;
  asio::io_context control_io_{1};
  asio::io_context traffic_io_{1};
  WorkGuard control_guard_{control_io_.get_executor()};
  WorkGuard traffic_guard_{traffic_io_.get_executor()};
  PeerChannel channel_;
  TrafficCore traffic_core_;
  ControlLoop control_loop_;
  asio::steady_timer evidence_timer_{traffic_io_};
  HttpServer server_;
  std::thread control_thread_;
  std::thread traffic_thread_;
};

Daemon::Impl::Impl(DaemonSettings settings)
    : settings_(std::move(settings)),
      seed_(std::random_device()()),
      channel_({.listen = settings_.peer_listen,
                .on_message =
                    [this](std::string_view bytes) { OnPeerMessage(bytes); }}),
      traffic_core_(
          traffic_io_, board_, metrics_,
          {.vm = settings_.vm,
           .boot_id = BootId(seed_),
           .clock = BootTimeClock(),
           .seed = seed_,
           .max_sessions = static_cast<std::size_t>(settings_.max_sessions),
           .send_to_peer =
               [this](const std::string& address, PeerMessageKind kind,
                      std::string body) {
                 return SendToPeer(address, kind, std::move(body));
               }}),
      control_loop_(
          control_io_, board_, metrics_, channel_,
          {.vm = settings_.vm,
           .platform = settings_.platform,
           .peer_listen = settings_.peer_listen,
           .clock = BootTimeClock(),
           .on_warmup_report =
               [this](const std::string& upstream, const WarmupReport& report) {
                 asio::post(traffic_io_, [this, upstream, report] {
                   traffic_core_.OnPeerReport(upstream, report);
                 });
               }}),
      server_(
          {.listen = settings_.listen,
           .max_body_bytes = static_cast<std::size_t>(settings_.max_body_bytes),
           .handler =
               [this](const ServerRequest& request, Respond respond) {
                 RouteRequest(request, std::move(respond));
               },
           .refusal_body =
               [](const Error& error) {
                 return MakeRefusalReply({}, error).body;
               }}) {}

Result<void> Daemon::Impl::SendToPeer(const std::string& address,
                                      PeerMessageKind kind, std::string body) {
  return channel_.Send(address,
                       EncodeEnvelope({.kind = static_cast<std::uint32_t>(kind),
                                       .from = settings_.vm,
                                       .reply_to = settings_.peer_listen,
                                       .correlation = 0,
                                       .body = std::move(body)}));
}

Result<void> Daemon::Impl::Start() {
  InitializeHttpThreads(static_cast<std::size_t>(settings_.http_threads));
  BOOST_OUTCOME_TRYV(channel_.Start());
  BOOST_OUTCOME_TRYV(server_.Start());
  control_thread_ = std::thread([this] { control_io_.run(); });
  traffic_thread_ = std::thread([this] { traffic_io_.run(); });
  asio::post(control_io_, [this] { control_loop_.Start(); });
  asio::post(traffic_io_, [this] { PublishEvidence(); });
  LogEvent(Event::kDaemonStarted, {{"listen", settings_.listen},
                                   {"peer_listen", settings_.peer_listen},
                                   {"seed", seed_}});
  return Ok();
}

void Daemon::Impl::PublishEvidence() {
  traffic_core_.PublishWarmupReports();
  evidence_timer_.expires_after(kEvidenceInterval);
  evidence_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) PublishEvidence();
  });
}

void Daemon::Impl::OnPeerMessage(std::string_view bytes) {
  Result<PeerEnvelope> envelope = DecodeEnvelope(bytes);
  if (!envelope) {
    metrics_.OnPeerMessageRefused();
    LogEvent(Event::kPeerMessageMalformed,
             {{"detail", envelope.error().detail}});
    return;
  }
  auto message = std::make_shared<PeerEnvelope>(std::move(envelope.value()));
  const auto kind = static_cast<PeerMessageKind>(message->kind);
  if (kind == PeerMessageKind::kRelayRequest) {
    auto request = DecodePeerBody<RelayRequest>(message->body);
    if (!request) return metrics_.OnPeerMessageRefused();
    asio::post(traffic_io_, [this, message, request = request.value()] {
      traffic_core_.OnRelayRequest(message->reply_to, request);
    });
  } else if (kind == PeerMessageKind::kRelayReply) {
    auto reply = DecodePeerBody<RelayReply>(message->body);
    if (!reply) return metrics_.OnPeerMessageRefused();
    asio::post(traffic_io_, [this, reply = reply.value()] {
      traffic_core_.OnRelayReply(reply);
    });
  } else {
    asio::post(control_io_,
               [this, message] { control_loop_.OnMessage(*message); });
  }
}

void Daemon::Impl::RouteRequest(const ServerRequest& request, Respond respond) {
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  const auto lifecycle = board_.lifecycle.Read();
  if (request.method == "POST" && request.path == "/v1/query") {
    OnQueryRequest(request.body, std::move(respond));
  } else if (request.method == "POST" && request.path == "/v1/write") {
    OnWriteRequest(request.body, std::move(respond));
  } else if (request.path == "/health/live") {
    respond(TextReply(200, "live\n"));
  } else if (request.path == "/health/ready") {
    const bool ready = lifecycle != nullptr && lifecycle->is_ready;
    respond(ready ? TextReply(200, "ready\n")
                  : TextReply(kUnavailable, "not ready\n"));
  } else if (request.path == "/metrics") {
    respond(TextReply(200, metrics_.Render()));
  } else if (request.path == "/v1/status") {
    OnStatusRequest(std::move(respond));
  } else if (request.path == "/v1/settings") {
    const auto section = board_.settings.Read();
    respond(section == nullptr ? TextReply(kUnavailable, "")
                               : TextReply(200, section->settings->text));
  } else if (request.path == "/v1/explain") {
    OnExplainRequest(request, std::move(respond));
  } else {
    ServerReply reply =
        MakeRefusalReply({}, {ErrorType::kInvalidRequest, "no such resource"});
    reply.status = kNotFound;
    respond(std::move(reply));
  }
}

void Daemon::Impl::OnQueryRequest(const std::string& body, Respond respond) {
  Result<QueryRequest> parsed = ParseQueryRequest(body);
  if (!parsed) {
    metrics_.OnRefusal("", parsed.error().type);
    respond(MakeRefusalReply({}, parsed.error()));
    return;
  }
  asio::post(traffic_io_, [this, request = std::move(parsed.value()),
                           respond = std::move(respond)] {
    traffic_core_.Query(
        request, [request, respond](const Result<QueryAnswer>& answer) {
          respond(answer ? MakeQueryReply(request, answer.value())
                         : MakeRefusalReply({request.service, request.deadline},
                                            answer.error()));
        });
  });
}

void Daemon::Impl::OnWriteRequest(const std::string& body, Respond respond) {
  Result<WriteRequest> parsed = ParseWriteRequest(body);
  if (!parsed) {
    metrics_.OnRefusal("", parsed.error().type);
    respond(MakeRefusalReply({}, parsed.error()));
    return;
  }
  asio::post(traffic_io_, [this, request = std::move(parsed.value()),
                           respond = std::move(respond)] {
    traffic_core_.Write(
        request, [request, respond](const Result<WriteResult>& result) {
          respond(result ? MakeWriteReply(request, result.value())
                         : MakeRefusalReply({request.service, request.deadline},
                                            result.error()));
        });
  });
}

void Daemon::Impl::OnExplainRequest(const ServerRequest& request,
                                    Respond respond) {
  const auto service = request.parameters.find("service");
  const std::string name =
      service == request.parameters.end() ? "" : service->second;
  asio::post(traffic_io_, [this, name, respond = std::move(respond)] {
    const auto upstreams = traffic_core_.StatusOf(name);
    respond(
        upstreams.empty()
            ? MakeRefusalReply({name, {}}, {ErrorType::kUnknownService, name})
            : MakeExplainReply(name, upstreams));
  });
}

void Daemon::Impl::OnStatusRequest(Respond respond) {
  asio::post(control_io_, [this, respond = std::move(respond)] {
    respond({.body = control_loop_.StatusJson()});
  });
}

template <typename Function>
auto Daemon::Impl::RunOnTrafficThread(Function function) {
  std::promise<decltype(function())> result;
  auto future = result.get_future();
  asio::post(traffic_io_, [&] { result.set_value(function()); });
  return future.get();
}

void Daemon::Impl::Drain() {
  LogEvent(Event::kDrainStarted,
           {{"notice_ms", ToMillis(settings_.drain_notice)}});
  asio::post(control_io_, [this] { control_loop_.BeginDrain(); });
  std::this_thread::sleep_for(settings_.drain_notice);
  RunOnTrafficThread([this] {
    traffic_core_.RefuseNewRequests();
    return true;
  });
  const TimePoint give_up_at = BootClock::now() + kMaxDrainTime;
  while (RunOnTrafficThread([this] { return traffic_core_.in_progress(); }) >
             0 &&
         BootClock::now() < give_up_at) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  server_.Stop();
  LogEvent(Event::kDaemonStopped, {{"vm", settings_.vm}});
}

void Daemon::Impl::StopThreads() {
  channel_.Stop();
  control_io_.stop();
  traffic_io_.stop();
  if (control_thread_.joinable()) control_thread_.join();
  if (traffic_thread_.joinable()) traffic_thread_.join();
}

Daemon::Daemon(DaemonSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
Daemon::~Daemon() = default;
Result<void> Daemon::Start() { return impl_->Start(); }
void Daemon::Drain() { impl_->Drain(); }

}  // namespace lacewingknot
