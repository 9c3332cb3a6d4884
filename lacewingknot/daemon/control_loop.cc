#include "lacewingknot/daemon/control_loop.h"

#include <nlohmann/json.hpp>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// A longer time between two ticks means that the process was paused.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);

// The traffic thread sees a VM list a little later than the control thread.
constexpr Duration kSettleMargin = std::chrono::milliseconds(300);

}  // namespace

ControlLoop::ControlLoop(boost::asio::io_context& io, Blackboard& board,
                         Metrics& metrics, PeerChannel& channel,
                         Options options)
    : io_(io),
      board_(board),
      metrics_(metrics),
      channel_(channel),
      options_(std::move(options)),
      settings_(board, metrics),
      vm_list_(board),
      peers_(board, settings_, vm_list_,
             {.vm = options_.vm,
              .clock = options_.clock,
              .send =
                  [this](const VmEntry& peer, PeerMessageKind kind,
                         std::string body) {
                    return SendRequest(peer, kind, std::move(body));
                  },
              .on_warmup_report = options_.on_warmup_report,
              .on_exchange_peers =
                  [this](const std::vector<std::string>& addresses) {
                    for (const std::string& address : addresses) {
                      channel_.StartConnecting(address);
                    }
                  }}),
      tick_timer_(io),
      started_at_(options_.clock()),
      last_tick_at_(started_at_) {}

void ControlLoop::Start() {
  settings_watch_ = MakeSettingsWatch();
  vm_list_watch_ = MakeVmListWatch();
  settings_watch_->Start();
  vm_list_watch_->Start();
  Tick();
}

Duration ControlLoop::CurrentWatchWait() const {
  const std::size_t fleet =
      vm_list_.list() == nullptr ? 1 : DaemonVmCount(*vm_list_.list());
  const FleetSettings settings = settings_.settings() == nullptr
                                     ? FleetSettings()
                                     : settings_.settings()->fleet;
  return LongPollWait(fleet, settings.platform_reads_per_second);
}

std::unique_ptr<DocumentWatch> ControlLoop::MakeSettingsWatch() {
  return std::make_unique<DocumentWatch>(
      io_,
      DocumentWatch::Options{
          .name = "settings",
          .address = options_.platform,
          .clock = options_.clock,
          .held_revision = [this] { return settings_.in_force().revision; },
          .long_poll_wait = [this] { return CurrentWatchWait(); },
          .on_document =
              [this](const std::string& text, TimePoint at) {
                settings_.OnDocument(text, DocumentSource::kPlatform, at);
              },
          .on_confirmed =
              [this](std::uint64_t revision, TimePoint at) {
                if (revision == settings_.in_force().revision) {
                  settings_.OnConfirmed(at);
                }
              },
          .on_poll_finished =
              [this](bool answered) { OnPlatformRead(answered); }});
}

std::unique_ptr<DocumentWatch> ControlLoop::MakeVmListWatch() {
  return std::make_unique<DocumentWatch>(
      io_, DocumentWatch::Options{
               .name = "vms",
               .address = options_.platform,
               .clock = options_.clock,
               .held_revision = [this] { return vm_list_.revision(); },
               .long_poll_wait = [this] { return CurrentWatchWait(); },
               .on_document =
                   [this](const std::string& text, TimePoint at) {
                     vm_list_.OnDocument(text, DocumentSource::kPlatform, at);
                   },
               .on_confirmed =
                   [this](std::uint64_t revision, TimePoint at) {
                     vm_list_.OnConfirmed(revision, at);
                   },
               .on_poll_finished =
                   [this](bool answered) { OnPlatformRead(answered); }});
}

void ControlLoop::OnPlatformRead(bool answered) {
  metrics_.OnPlatformRead(answered);
  if (answered == is_platform_answering_) return;
  is_platform_answering_ = answered;
  LogEvent(answered ? Event::kPlatformRecovered : Event::kPlatformUnavailable,
           {{"platform", options_.platform}});
}

void ControlLoop::Tick() {
  const TimePoint now = options_.clock();
  if (now - last_tick_at_ > kPauseThreshold) {
    LogEvent(Event::kPauseDetected, {{"ms", ToMillis(now - last_tick_at_)}});
  }
  last_tick_at_ = now;
  if (!first_vm_list_at_ && vm_list_.list() != nullptr) first_vm_list_at_ = now;
  peers_.OnTick();
  SetReady(IsReadyForTraffic(now));
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

bool ControlLoop::IsReadyForTraffic(TimePoint now) const {
  if (is_draining_ || settings_.settings() == nullptr || !first_vm_list_at_) {
    return false;
  }
  // Until a lease has passed, other daemons may hold a VM list without this
  // daemon and take larger shares of the limits.
  const bool is_settled =
      now - *first_vm_list_at_ >
      settings_.settings()->fleet.view_lease + kSettleMargin;
  return is_settled && peers_.HasTriedPeers() && now <= peers_.permit_until();
}

void ControlLoop::SetReady(bool ready) {
  if (ready == is_ready_ && board_.lifecycle.generation() > 0) return;
  is_ready_ = ready;
  metrics_.set_ready(ready);
  board_.lifecycle.Publish({.is_ready = ready, .is_draining = is_draining_});
  LogEvent(ready ? Event::kDaemonReady : Event::kDaemonNotReady,
           {{"settings_revision", settings_.in_force().revision}});
}

void ControlLoop::BeginDrain() {
  is_draining_ = true;
  is_ready_ = false;
  metrics_.set_ready(false);
  board_.lifecycle.Publish({.is_ready = false, .is_draining = true});
}

Result<std::uint64_t> ControlLoop::SendRequest(const VmEntry& peer,
                                               PeerMessageKind kind,
                                               std::string body) {
  const std::uint64_t correlation = ++last_correlation_;
  BOOST_OUTCOME_TRYV(
      channel_.Send(peer.peer_address,
                    EncodeEnvelope({.kind = static_cast<std::uint32_t>(kind),
                                    .from = options_.vm,
                                    .reply_to = options_.peer_listen,
                                    .correlation = correlation,
                                    .body = std::move(body)})));
  return correlation;
}

void ControlLoop::SendReply(const PeerEnvelope& request, PeerMessageKind kind,
                            std::string body) {
  // If the reply cannot be sent, the requester times out.
  static_cast<void>(
      channel_.Send(request.reply_to,
                    EncodeEnvelope({.kind = static_cast<std::uint32_t>(kind),
                                    .from = options_.vm,
                                    .reply_to = options_.peer_listen,
                                    .correlation = request.correlation,
                                    .body = std::move(body)})));
}

void ControlLoop::OnMessage(const PeerEnvelope& envelope) {
  const auto decode_and_handle = [&](const auto& decoded, const auto& handle) {
    if (decoded) {
      handle(decoded.value());
      return;
    }
    metrics_.OnPeerMessageRefused();
    LogEvent(Event::kPeerMessageMalformed, {{"peer", envelope.from}});
  };
  switch (static_cast<PeerMessageKind>(envelope.kind)) {
    case PeerMessageKind::kExchangeRequest:
      decode_and_handle(DecodePeerBody<ExchangeRequest>(envelope.body),
                        [&](const ExchangeRequest& request) {
                          SendReply(
                              envelope, PeerMessageKind::kExchangeReply,
                              EncodePeerBody(peers_.AnswerExchange(request)));
                        });
      break;
    case PeerMessageKind::kExchangeReply:
      decode_and_handle(DecodePeerBody<ExchangeReply>(envelope.body),
                        [&](const ExchangeReply& reply) {
                          peers_.OnExchangeReply(envelope.correlation, reply);
                        });
      break;
    case PeerMessageKind::kDocumentRequest:
      decode_and_handle(DecodePeerBody<DocumentRequest>(envelope.body),
                        [&](const DocumentRequest& request) {
                          SendReply(
                              envelope, PeerMessageKind::kDocumentReply,
                              EncodePeerBody(peers_.AnswerDocument(request)));
                        });
      break;
    case PeerMessageKind::kDocumentReply:
      decode_and_handle(DecodePeerBody<DocumentReply>(envelope.body),
                        [&](const DocumentReply& reply) {
                          peers_.OnDocumentReply(envelope.correlation, reply);
                        });
      break;
    default:
      break;
  }
}

std::string ControlLoop::StatusJson() const {
  const TimePoint now = options_.clock();
  const ViewDigest view = peers_.Digest();
  const auto permit = board_.permit.Read();
  nlohmann::json data_centres_out = nlohmann::json::array();
  if (settings_.settings() != nullptr) {
    for (const auto& [name, node] : settings_.settings()->data_centres) {
      if (node.is_out) data_centres_out.push_back(name);
    }
  }
  return nlohmann::json{
      {"vm", options_.vm},
      {"ready", is_ready_},
      {"draining", is_draining_},
      {"uptime_ms", ToMillis(now - started_at_)},
      {"platform_answers", is_platform_answering_},
      {"settings",
       {{"revision", view.settings_revision},
        {"hash", view.settings_hash},
        {"confirmed_ms_ago", view.settings_age_ms},
        {"refused_documents", settings_.refused_count()}}},
      {"vm_list",
       {{"revision", view.list_revision},
        {"confirmed_ms_ago", view.list_age_ms}}},
      {"data_centres_out", data_centres_out},
      {"peers",
       {{"tried", permit == nullptr ? 0 : permit->peers_tried},
        {"answering", permit == nullptr ? 0 : permit->peers_answering}}},
      {"permit_ms_left", permit == nullptr ? 0 : ToMillis(permit->until - now)}}
      .dump();
}

}  // namespace lacewingknot
