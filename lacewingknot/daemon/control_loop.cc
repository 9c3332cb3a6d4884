#include "lacewingknot/daemon/control_loop.h"

#include <nlohmann/json.hpp>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

// A tick that comes this late means that the process was stopped.
constexpr Duration kPause = std::chrono::seconds(1);

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
                    return Request(peer, kind, std::move(body));
                  },
              .on_claim = options_.on_claim,
              .on_peers =
                  [this](const std::vector<std::string>& addresses) {
                    for (const std::string& address : addresses) {
                      channel_.Prepare(address);
                    }
                  }}),
      tick_timer_(io),
      started_at_(options_.clock()),
      last_tick_at_(started_at_) {}

void ControlLoop::Start() {
  settings_watch_ = MakeSettingsWatch();
  list_watch_ = MakeListWatch();
  settings_watch_->Start();
  list_watch_->Start();
  Tick();
}

Duration ControlLoop::WatchWaitNow() const {
  const std::size_t fleet =
      vm_list_.list() == nullptr ? 1 : EntryVmCount(*vm_list_.list());
  const FleetSettings settings = settings_.settings() == nullptr
                                     ? FleetSettings()
                                     : settings_.settings()->fleet;
  return WatchWait(fleet, settings.platform_reads_per_second);
}

std::unique_ptr<DocumentWatch> ControlLoop::MakeSettingsWatch() {
  return std::make_unique<DocumentWatch>(
      io_,
      DocumentWatch::Options{
          .name = "settings",
          .address = options_.platform,
          .clock = options_.clock,
          .held_revision = [this] { return settings_.in_force().revision; },
          .wait = [this] { return WatchWaitNow(); },
          .on_document =
              [this](const std::string& text, TimePoint at) {
                settings_.OnDocument(text, Source::kPlatform, at);
              },
          .on_confirmed =
              [this](std::uint64_t revision, TimePoint at) {
                if (revision == settings_.in_force().revision) {
                  settings_.OnConfirmed(at);
                }
              },
          .on_read = [this](bool answered) { OnPlatformRead(answered); }});
}

std::unique_ptr<DocumentWatch> ControlLoop::MakeListWatch() {
  return std::make_unique<DocumentWatch>(
      io_, DocumentWatch::Options{
               .name = "vms",
               .address = options_.platform,
               .clock = options_.clock,
               .held_revision = [this] { return vm_list_.revision(); },
               .wait = [this] { return WatchWaitNow(); },
               .on_document =
                   [this](const std::string& text, TimePoint at) {
                     vm_list_.OnDocument(text, Source::kPlatform, at);
                   },
               .on_confirmed =
                   [this](std::uint64_t revision, TimePoint at) {
                     vm_list_.OnConfirmed(revision, at);
                   },
               .on_read = [this](bool answered) { OnPlatformRead(answered); }});
}

void ControlLoop::OnPlatformRead(bool answered) {
  metrics_.OnPlatformRead(answered);
  if (answered == platform_answers_) return;
  platform_answers_ = answered;
  LogEvent(answered ? Event::kPlatformRecovered : Event::kPlatformUnavailable,
           {{"platform", options_.platform}});
}

void ControlLoop::Tick() {
  const TimePoint now = options_.clock();
  if (now - last_tick_at_ > kPause) {
    LogEvent(Event::kPauseDetected, {{"ms", ToMillis(now - last_tick_at_)}});
  }
  last_tick_at_ = now;
  if (!listed_at_ && vm_list_.list() != nullptr) listed_at_ = now;
  peers_.OnTick();
  SetReady(ShouldBeReady(now));
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

bool ControlLoop::ShouldBeReady(TimePoint now) const {
  if (draining_ || settings_.settings() == nullptr || !listed_at_) {
    return false;
  }
  // Until then others may not count this daemon in their shares; traffic sees
  // the list a little later than control does.
  const bool settled = now - *listed_at_ >
                       settings_.settings()->fleet.view_lease + kSettleMargin;
  return settled && peers_.HasAskedPeers() && now <= peers_.permit_until();
}

void ControlLoop::SetReady(bool ready) {
  if (ready == ready_ && board_.lifecycle.generation() > 0) return;
  ready_ = ready;
  metrics_.set_ready(ready);
  board_.lifecycle.Publish({.ready = ready, .draining = draining_});
  LogEvent(ready ? Event::kDaemonReady : Event::kDaemonNotReady,
           {{"settings_revision", settings_.in_force().revision}});
}

void ControlLoop::BeginDrain() {
  draining_ = true;
  ready_ = false;
  metrics_.set_ready(false);
  board_.lifecycle.Publish({.ready = false, .draining = true});
}

Result<std::uint64_t> ControlLoop::Request(const VmEntry& peer,
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

void ControlLoop::Reply(const PeerEnvelope& request, PeerMessageKind kind,
                        std::string body) {
  // A peer that cannot be reached finds its request unanswered.
  static_cast<void>(
      channel_.Send(request.reply_to,
                    EncodeEnvelope({.kind = static_cast<std::uint32_t>(kind),
                                    .from = options_.vm,
                                    .reply_to = options_.peer_listen,
                                    .correlation = request.correlation,
                                    .body = std::move(body)})));
}

void ControlLoop::OnMessage(const PeerEnvelope& envelope) {
  const auto take = [&](const auto& decoded, const auto& handle) {
    if (decoded) {
      handle(decoded.value());
      return;
    }
    metrics_.OnPeerMessageRefused();
    LogEvent(Event::kPeerMessageMalformed, {{"peer", envelope.from}});
  };
  switch (static_cast<PeerMessageKind>(envelope.kind)) {
    case PeerMessageKind::kExchangeRequest:
      take(DecodePeerBody<ExchangeRequest>(envelope.body),
           [&](const ExchangeRequest& request) {
             Reply(envelope, PeerMessageKind::kExchangeReply,
                   EncodePeerBody(peers_.AnswerExchange(request)));
           });
      break;
    case PeerMessageKind::kExchangeReply:
      take(DecodePeerBody<ExchangeReply>(envelope.body),
           [&](const ExchangeReply& reply) {
             peers_.OnExchangeReply(envelope.correlation, reply);
           });
      break;
    case PeerMessageKind::kDocumentRequest:
      take(DecodePeerBody<DocumentRequest>(envelope.body),
           [&](const DocumentRequest& request) {
             Reply(envelope, PeerMessageKind::kDocumentReply,
                   EncodePeerBody(peers_.AnswerDocument(request)));
           });
      break;
    case PeerMessageKind::kDocumentReply:
      take(DecodePeerBody<DocumentReply>(envelope.body),
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
      if (node.out) data_centres_out.push_back(name);
    }
  }
  return nlohmann::json{
      {"vm", options_.vm},
      {"ready", ready_},
      {"draining", draining_},
      {"uptime_ms", ToMillis(now - started_at_)},
      {"platform_answers", platform_answers_},
      {"settings",
       {{"revision", view.settings_revision},
        {"hash", view.settings_hash},
        {"confirmed_ms_ago", view.settings_age_ms},
        {"refused_documents", settings_.refused()}}},
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
