#include "lacewingknot/control/peer_controller.h"

#include <xxhash.h>

#include <algorithm>

#include "lacewingknot/base/event_log.h"

namespace lacewingknot {
namespace {

// Peers that are sent an exchange request in each gossip interval.
constexpr std::size_t kPeersPerInterval = 3;

// Time after which a request without a reply has failed.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);

// Exchange peers that a new daemon of a large fleet must have tried before it
// is ready.
constexpr std::size_t kMinPeersTried = 8;

// Maximum number of upstreams in one exchange request; the next request
// continues with the following ones. The limit bounds the size of the requests
// when a whole data centre is cold.
constexpr std::size_t kMaxWantedUpstreams = 16;

constexpr std::string_view kSettingsDocument = "settings";
constexpr std::string_view kListDocument = "vms";

// Milliseconds from `at` to `now`; -1 if `at` is unset.
std::int64_t AgeMs(TimePoint at, TimePoint now) {
  return at == TimePoint{} ? -1 : ToMillis(now - at);
}

// Weight of `peer` among the possible exchange peers of `self`; the peers with
// the highest weights are selected.
std::uint64_t RendezvousWeight(std::string_view self, std::string_view peer) {
  const std::uint64_t seed = XXH3_64bits(self.data(), self.size());
  return XXH3_64bits_withSeed(peer.data(), peer.size(), seed);
}

}  // namespace

std::vector<const VmEntry*> SelectExchangePeers(const VmList& list,
                                                std::string_view self) {
  std::vector<const VmEntry*> peers;
  for (const VmEntry& vm : list.vms) {
    if (vm.upstream.empty() && vm.id != self) peers.push_back(&vm);
  }
  std::sort(
      peers.begin(), peers.end(), [&](const VmEntry* a, const VmEntry* b) {
        return RendezvousWeight(self, a->id) > RendezvousWeight(self, b->id);
      });
  if (peers.size() > kMaxExchangePeers) peers.resize(kMaxExchangePeers);
  return peers;
}

PeerController::PeerController(Blackboard& board, SettingsController& settings,
                               VmListController& vm_list, Options options)
    : board_(board),
      settings_(settings),
      vm_list_(vm_list),
      options_(std::move(options)),
      permit_(FleetSettings().view_lease) {}

ViewDigest PeerController::Digest() const {
  const TimePoint now = options_.clock();
  const SettingsVersion version = settings_.in_force();
  const auto lifecycle = board_.lifecycle.Read();
  return {.settings_revision = version.revision,
          .settings_hash = version.content_hash,
          .settings_age_ms = AgeMs(settings_.confirmed_at(), now),
          .list_revision = vm_list_.revision(),
          .list_age_ms = AgeMs(vm_list_.confirmed_at(), now),
          .draining = lifecycle != nullptr && lifecycle->is_draining};
}

void PeerController::RefreshExchangePeers() {
  if (vm_list_.list() == selected_from_) return;
  selected_from_ = vm_list_.list();
  exchange_peers_ = SelectExchangePeers(*selected_from_, options_.vm);
  next_peer_ = 0;
  list_confirmed_at_.clear();
  std::vector<std::string> addresses;
  for (const VmEntry* peer : exchange_peers_) {
    addresses.push_back(peer->peer_address);
  }
  options_.on_exchange_peers(addresses);
}

void PeerController::OnTick() {
  const TimePoint now = options_.clock();
  if (vm_list_.list() != nullptr) RefreshExchangePeers();
  if (settings_.settings() != nullptr) {
    permit_.set_lease(settings_.settings()->fleet.view_lease);
  }
  ExpirePending(now);
  if (now >= next_exchange_at_) BeginExchanges(now);
  PublishPermit(now);
}

void PeerController::BeginExchanges(TimePoint now) {
  const Duration interval = settings_.settings() == nullptr
                                ? FleetSettings().gossip_interval
                                : settings_.settings()->fleet.gossip_interval;
  next_exchange_at_ = now + interval;
  const std::size_t count = std::min(kPeersPerInterval, exchange_peers_.size());
  for (std::size_t i = 0; i < count; ++i) {
    SendExchange(*exchange_peers_[next_peer_ % exchange_peers_.size()], now);
    ++next_peer_;
  }
}

void PeerController::SendExchange(const VmEntry& peer, TimePoint now) {
  const ExchangeRequest request{.view = Digest(),
                                .wanted = NextWantedUpstreams()};
  const auto sent = options_.send(peer, PeerMessageKind::kExchangeRequest,
                                  EncodePeerBody(request));
  if (!sent) {
    tried_peers_.insert(peer.id);
    permit_.OnExchange(peer.id, false, now);
    return;
  }
  pending_[sent.value()] = {.peer = peer.id,
                            .peer_address = peer.peer_address,
                            .sent_at = now,
                            .is_exchange = true,
                            .document = ""};
}

std::vector<std::string> PeerController::NextWantedUpstreams() {
  std::vector<std::string> wanted;
  const auto evidence = board_.warmup_reports.Read();
  if (evidence == nullptr) return wanted;
  const std::vector<std::string>& all = evidence->requested_upstreams;
  const std::size_t count = std::min(kMaxWantedUpstreams, all.size());
  for (std::size_t i = 0; i < count; ++i) {
    wanted.push_back(all[next_wanted_++ % all.size()]);
  }
  return wanted;
}

void PeerController::ExpirePending(TimePoint now) {
  std::erase_if(pending_, [&](const auto& entry) {
    const PendingRequest& pending = entry.second;
    if (now - pending.sent_at <= kReplyTimeout) return false;
    if (pending.is_exchange) {
      tried_peers_.insert(pending.peer);
      permit_.OnExchange(pending.peer, false, pending.sent_at);
      LogEvent(Event::kPeerUnreachable, {{"peer", pending.peer}});
    }
    return true;
  });
}

ExchangeReply PeerController::AnswerExchange(const ExchangeRequest& request) {
  vm_list_.OnPeerRevision(request.view.list_revision);
  highest_settings_revision_ =
      std::max(highest_settings_revision_, request.view.settings_revision);
  ExchangeReply reply{.view = Digest(), .claims = {}};
  const auto evidence = board_.warmup_reports.Read();
  if (evidence == nullptr) return reply;
  const std::set<std::string_view> wanted(request.wanted.begin(),
                                          request.wanted.end());
  const TimePoint now = options_.clock();
  for (const WarmupReportsSection::Item& item : evidence->reports) {
    if (!wanted.contains(item.upstream)) continue;
    reply.claims.push_back(
        {.upstream = item.upstream,
         .instance = item.report.instance,
         .level = item.report.level,
         .age_ms = AgeMs(item.report.last_answer_at, now),
         .level_age_ms = AgeMs(item.report.level_changed_at, now)});
  }
  return reply;
}

DocumentReply PeerController::AnswerDocument(
    const DocumentRequest& request) const {
  DocumentReply reply{.name = request.name, .text = ""};
  if (request.name == kSettingsDocument && settings_.settings() != nullptr) {
    reply.text = settings_.settings()->text;
  }
  if (request.name == kListDocument) reply.text = vm_list_.text();
  return reply;
}

void PeerController::OnExchangeReply(std::uint64_t correlation,
                                     const ExchangeReply& reply) {
  const auto at = pending_.find(correlation);
  if (at == pending_.end()) return;
  const PendingRequest pending = std::move(at->second);
  pending_.erase(at);
  tried_peers_.insert(pending.peer);
  permit_.OnExchange(pending.peer, true, pending.sent_at);
  ApplyPeerView(pending, reply.view);
  for (const PeerWarmupReport& report : reply.claims) {
    // The peer computed the ages after this request was sent. Counted back from
    // the time of sending, they give the earliest possible time of the
    // evidence, however long the messages took.
    const auto earliest_time = [&](std::int64_t age_ms) {
      return pending.sent_at - std::chrono::milliseconds(age_ms);
    };
    options_.on_warmup_report(
        report.upstream,
        {.instance = report.instance,
         .level = report.level,
         .last_answer_at = earliest_time(report.age_ms),
         .level_changed_at = earliest_time(report.level_age_ms)});
  }
}

void PeerController::ApplyPeerView(const PendingRequest& from,
                                   const ViewDigest& view) {
  const SettingsVersion own = settings_.in_force();
  const SettingsVersion theirs{.revision = view.settings_revision,
                               .content_hash = view.settings_hash};
  highest_settings_revision_ =
      std::max(highest_settings_revision_, theirs.revision);
  const SettingsDecision decision = DecideSettings(own, theirs);
  if (decision == SettingsDecision::kAccept ||
      decision == SettingsDecision::kConflictReplace) {
    FetchDocument(from, std::string(kSettingsDocument));
  } else if (decision == SettingsDecision::kSame && view.settings_age_ms >= 0) {
    settings_.OnConfirmed(from.sent_at -
                          std::chrono::milliseconds(view.settings_age_ms));
  }
  vm_list_.OnPeerRevision(view.list_revision);
  if (view.list_revision > vm_list_.revision()) {
    FetchDocument(from, std::string(kListDocument));
    return;
  }
  if (view.list_revision != vm_list_.revision()) return;
  if (view.list_age_ms >= 0) {
    vm_list_.OnConfirmed(
        view.list_revision,
        from.sent_at - std::chrono::milliseconds(view.list_age_ms));
  }
  // While the platform is unavailable to all daemons, agreement of every
  // exchange peer confirms the list: then no daemon can hold a newer one.
  list_confirmed_at_[from.peer] = from.sent_at;
  const bool all_agree = !exchange_peers_.empty() &&
                         list_confirmed_at_.size() >= exchange_peers_.size();
  if (!all_agree) return;
  const auto oldest = std::min_element(
      list_confirmed_at_.begin(), list_confirmed_at_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  vm_list_.OnConfirmed(view.list_revision, oldest->second);
}

void PeerController::FetchDocument(const PendingRequest& from,
                                   const std::string& document) {
  const bool is_being_fetched = std::any_of(
      pending_.begin(), pending_.end(),
      [&](const auto& entry) { return entry.second.document == document; });
  if (is_being_fetched) return;
  const VmEntry peer{.id = from.peer, .peer_address = from.peer_address};
  const auto sent =
      options_.send(peer, PeerMessageKind::kDocumentRequest,
                    EncodePeerBody(DocumentRequest{.name = document}));
  if (!sent) return;
  pending_[sent.value()] = {.peer = from.peer,
                            .peer_address = from.peer_address,
                            .sent_at = options_.clock(),
                            .is_exchange = false,
                            .document = document};
}

void PeerController::OnDocumentReply(std::uint64_t correlation,
                                     const DocumentReply& reply) {
  const auto at = pending_.find(correlation);
  if (at == pending_.end() || at->second.document != reply.name) return;
  const TimePoint sent_at = at->second.sent_at;
  pending_.erase(at);
  if (reply.text.empty()) return;
  if (reply.name == kSettingsDocument) {
    settings_.OnDocument(reply.text, DocumentSource::kPeer, sent_at);
  } else {
    vm_list_.OnDocument(reply.text, DocumentSource::kPeer, sent_at);
  }
}

bool PeerController::HasTriedPeers() const {
  const std::size_t required = std::min(kMinPeersTried, exchange_peers_.size());
  const bool is_fetching =
      std::any_of(pending_.begin(), pending_.end(),
                  [](const auto& entry) { return !entry.second.is_exchange; });
  return selected_from_ != nullptr && tried_peers_.size() >= required &&
         !is_fetching;
}

void PeerController::PublishPermit(TimePoint now) {
  permit_.set_peer_has_newer_view(highest_settings_revision_ >
                                  settings_.in_force().revision);
  if (settings_.confirmed_at() != TimePoint{}) {
    permit_.OnConfirmed(settings_.confirmed_at());
  }
  permit_.set_has_view(settings_.settings() != nullptr &&
                       vm_list_.list() != nullptr);
  const TimePoint until = permit_.Renew(exchange_peers_.size(), now);
  const WorkPermit::PeerCount peers = permit_.CountPeers(now);
  board_.permit.Publish({.until = until,
                         .peers_answering = peers.answering,
                         .peers_tried = peers.tried});
}

}  // namespace lacewingknot
