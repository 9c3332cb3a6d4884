#include "lacewingknot/policy/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace lacewingknot {
namespace {

// Messages that carry an update in addition to the logarithm of the fleet's
// size that epidemic dissemination needs.
constexpr int kExtraTransmissions = 3;
// Members that are informed of a planned stop.
constexpr std::size_t kLeaveFanout = 3;

std::uint64_t DigestOf(const Member& member) {
  return XXH3_64bits_withSeed(member.address.data(), member.address.size(),
                              member.incarnation);
}

}  // namespace

Membership::Membership(Options options)
    : options_(std::move(options)), random_(options_.random_seed) {
  Record& self = records_[options_.self.address];
  self.member = options_.self;
  digest_ = DigestOf(options_.self);
}

template <typename Condition>
std::vector<std::string> Membership::PeerAddressesWhere(
    Condition condition) const {
  std::vector<std::string> addresses;
  for (const auto& [address, record] : records_) {
    if (address != options_.self.address && condition(record)) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

Duration Membership::interval() const {
  if (!joined_at_) return kJoinInterval;
  return now_ - *joined_at_ < kStartupPeriod ? kStartupInterval : kInterval;
}

std::vector<Member> Membership::AliveMembers() const {
  std::vector<Member> alive;
  for (const auto& [address, record] : records_) {
    if (!record.gone_at) alive.push_back(record.member);
  }
  return alive;
}

std::size_t Membership::FleetSize(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        const Record& record = entry.second;
        return !record.gone_at || now - *record.gone_at < kGoneShareRetention;
      }));
}

void Membership::ScheduleDissemination(Record& record) const {
  record.transmissions_left =
      static_cast<int>(std::bit_width(records_.size())) + kExtraTransmissions;
}

void Membership::MarkGone(Record& record, TimePoint now) {
  digest_ ^= DigestOf(record.member);
  record.gone_at = now;
  ScheduleDissemination(record);
  ++version_;
}

void Membership::Refute(std::uint64_t incarnation) {
  Record& self = records_[options_.self.address];
  digest_ ^= DigestOf(self.member);
  self.member.incarnation = incarnation + 1;
  options_.self.incarnation = incarnation + 1;
  digest_ ^= DigestOf(self.member);
  ScheduleDissemination(self);
  ++version_;
}

void Membership::ApplyOwnUpdate(const MemberUpdate& update) {
  if (is_leaving_) return;
  const std::uint64_t own = options_.self.incarnation;
  // A later incarnation belongs to an earlier process on this VM: the VM has
  // rebooted since, which restarted the uptime that incarnations derive from.
  if (update.member.incarnation > own ||
      (update.gone_for && update.member.incarnation == own)) {
    Refute(update.member.incarnation);
  }
}

void Membership::ApplyUpdate(const MemberUpdate& update, TimePoint now,
                             UpdateSource source) {
  if (update.member.address == options_.self.address) {
    ApplyOwnUpdate(update);
    return;
  }
  const auto found = records_.find(update.member.address);
  const bool is_new = found == records_.end();
  if (is_new && (records_.size() >= kMaxMembers ||
                 (update.gone_for && *update.gone_for >= kGoneRetention))) {
    return;
  }
  Record& record = is_new ? records_[update.member.address] : found->second;
  if (!is_new) {
    if (update.member.incarnation < record.member.incarnation) return;
    const bool same = update.member.incarnation == record.member.incarnation;
    if (same && (!update.gone_for || record.gone_at)) return;
    if (!record.gone_at) digest_ ^= DigestOf(record.member);
  }
  record.member = update.member;
  record.gone_at.reset();
  if (update.gone_for) {
    record.gone_at = now - *update.gone_for;
  } else {
    digest_ ^= DigestOf(record.member);
  }
  if (source == UpdateSource::kGossip) ScheduleDissemination(record);
  ++version_;
}

MemberUpdate Membership::UpdateFor(const Record& record, TimePoint now) {
  MemberUpdate update{.member = record.member};
  if (record.gone_at) {
    update.gone_for =
        std::chrono::duration_cast<std::chrono::seconds>(now - *record.gone_at);
  }
  return update;
}

std::vector<MemberUpdate> Membership::TakePendingUpdates(TimePoint now) {
  std::vector<Record*> pending;
  for (auto& [address, record] : records_) {
    if (record.transmissions_left > 0) pending.push_back(&record);
  }
  // Updates that were sent least often go first.
  std::shuffle(pending.begin(), pending.end(), random_);
  std::stable_sort(pending.begin(), pending.end(),
                   [](const Record* a, const Record* b) {
                     return a->transmissions_left > b->transmissions_left;
                   });
  // MakeOutgoing() may add one update about the receiver.
  if (pending.size() >= kMaxUpdatesPerMessage) {
    pending.resize(kMaxUpdatesPerMessage - 1);
  }
  std::vector<MemberUpdate> updates;
  updates.reserve(pending.size());
  for (Record* record : pending) {
    --record->transmissions_left;
    updates.push_back(UpdateFor(*record, now));
  }
  return updates;
}

MemberMessage Membership::NewMessage(MemberMessageKind kind) {
  return {.kind = kind,
          .sender = options_.self,
          .digest = digest_,
          .knows_fleet_size = knows_fleet_size(now_),
          .updates = TakePendingUpdates(now_)};
}

std::vector<OutgoingMemberMessage> Membership::MakeFullList(
    const std::string& to, TimePoint now) {
  std::vector<OutgoingMemberMessage> outgoing;
  const auto add = [&] {
    outgoing.push_back(
        {.to = to,
         .message = {.kind = MemberMessageKind::kList,
                     .sender = options_.self,
                     .digest = digest_,
                     .knows_fleet_size = knows_fleet_size(now)}});
  };
  add();
  for (const auto& [address, record] : records_) {
    if (outgoing.back().message.updates.size() == kMaxUpdatesPerMessage) add();
    outgoing.back().message.updates.push_back(UpdateFor(record, now));
  }
  return outgoing;
}

OutgoingMemberMessage Membership::MakeOutgoing(std::string to,
                                               MemberMessageKind kind,
                                               std::uint64_t number,
                                               std::string about) {
  OutgoingMemberMessage outgoing{.to = std::move(to),
                                 .message = NewMessage(kind)};
  const auto found = records_.find(outgoing.to);
  if (found != records_.end() && found->second.gone_at) {
    // If the receiver is alive, it must learn that it counts as gone, so that
    // it can refute this.
    outgoing.message.updates.push_back(UpdateFor(found->second, now_));
  }
  outgoing.message.probe_number = number;
  outgoing.message.target = std::move(about);
  return outgoing;
}

OutgoingMemberMessage Membership::StartProbe(const std::string& address,
                                             TimePoint now) {
  const auto found = records_.find(address);
  const std::uint64_t number = ++last_probe_number_;
  // A probe of a gone member is not tracked: a missing acknowledgement changes
  // nothing.
  if (found != records_.end() && !found->second.gone_at) {
    probes_.push_back({.number = number,
                       .address = address,
                       .incarnation = found->second.member.incarnation,
                       .started = now});
  }
  return MakeOutgoing(address, MemberMessageKind::kProbe, number, address);
}

bool Membership::IsLocalPeer(const Record& record) const {
  return !record.gone_at &&
         record.member.data_centre == options_.self.data_centre;
}

std::vector<std::string> Membership::RandomSubset(
    std::vector<std::string> addresses, std::size_t count) {
  std::shuffle(addresses.begin(), addresses.end(), random_);
  if (addresses.size() > count) addresses.resize(count);
  return addresses;
}

std::optional<std::string> Membership::NextProbeTarget(bool is_local) {
  std::vector<std::string>& queue =
      is_local ? local_probe_queue_ : remote_probe_queue_;
  const auto is_target = [&](const Record& record) {
    return !record.gone_at &&
           (record.member.data_centre == options_.self.data_centre) == is_local;
  };
  if (queue.empty()) {
    queue = PeerAddressesWhere(is_target);
    std::shuffle(queue.begin(), queue.end(), random_);
  }
  while (!queue.empty()) {
    const std::string address = std::move(queue.back());
    queue.pop_back();
    const auto found = records_.find(address);
    if (found != records_.end() && is_target(found->second)) return address;
  }
  return std::nullopt;
}

std::optional<std::string> Membership::RandomSeed() {
  if (options_.seed_addresses.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(
      0, options_.seed_addresses.size() - 1);
  const std::string& seed = options_.seed_addresses[any(random_)];
  if (seed == options_.self.address) return std::nullopt;
  return seed;
}

std::optional<std::string> Membership::RandomGoneMember() {
  std::vector<std::string> gone = PeerAddressesWhere(
      [](const Record& record) { return record.gone_at.has_value(); });
  const auto seed = RandomSeed();
  if (seed && records_.find(*seed) == records_.end()) gone.push_back(*seed);
  if (gone.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, gone.size() - 1);
  return gone[any(random_)];
}

void Membership::CheckProbes(TimePoint now,
                             std::vector<OutgoingMemberMessage>& outgoing) {
  std::vector<Probe> open;
  for (Probe& probe : probes_) {
    const auto found = records_.find(probe.address);
    if (found == records_.end() || found->second.gone_at ||
        found->second.member.incarnation != probe.incarnation) {
      continue;
    }
    if (now - probe.started >= kGoneAfter) {
      // If no message has arrived since the probe timed out, this daemon may be
      // the one that is cut off.
      if (last_received_at_ &&
          *last_received_at_ > probe.started + kProbeTimeout) {
        MarkGone(found->second, now);
      }
      continue;
    }
    if (!probe.indirect_sent && now - probe.started >= kProbeTimeout) {
      probe.indirect_sent = true;
      SendIndirectProbes(probe, outgoing);
    }
    open.push_back(std::move(probe));
  }
  probes_ = std::move(open);
}

void Membership::SendIndirectProbes(
    const Probe& probe, std::vector<OutgoingMemberMessage>& outgoing) {
  auto probers = PeerAddressesWhere([&](const Record& record) {
    return !record.gone_at && record.member.address != probe.address;
  });
  for (std::string& prober :
       RandomSubset(std::move(probers), kIndirectProbers)) {
    outgoing.push_back(MakeOutgoing(std::move(prober),
                                    MemberMessageKind::kIndirectProbe,
                                    probe.number, probe.address));
  }
  // The first probe may have been lost.
  outgoing.push_back(MakeOutgoing(probe.address, MemberMessageKind::kProbe,
                                  probe.number, probe.address));
}

void Membership::RemoveExpiredGone(TimePoint now) {
  std::erase_if(records_, [&](const auto& entry) {
    const auto& gone_at = entry.second.gone_at;
    return gone_at && now - *gone_at >= kGoneRetention;
  });
}

std::vector<OutgoingMemberMessage> Membership::RequestFirstList() {
  const auto seed = RandomSeed();
  if (!seed) return {};
  return {MakeOutgoing(*seed, MemberMessageKind::kListRequest)};
}

void Membership::OnJoined(TimePoint now) {
  joined_at_ = now;
  std::uniform_int_distribution<Duration::rep> delay(kMinSeedListDelay.count(),
                                                     kMaxSeedListDelay.count());
  next_list_request_at_ = now + Duration(delay(random_));
}

void Membership::GossipToLocalPeers(
    std::vector<OutgoingMemberMessage>& outgoing) {
  const bool has_updates = std::any_of(
      records_.begin(), records_.end(),
      [](const auto& entry) { return entry.second.transmissions_left > 0; });
  if (!has_updates) return;
  auto local_peers = PeerAddressesWhere(
      [this](const Record& record) { return IsLocalPeer(record); });
  for (std::string& to : RandomSubset(std::move(local_peers), kGossipFanout)) {
    outgoing.push_back(
        MakeOutgoing(std::move(to), MemberMessageKind::kProbeAck));
  }
}

void Membership::RequestDifferingList(
    TimePoint now, std::vector<OutgoingMemberMessage>& outgoing) {
  if (!differing_peer_ || now < next_list_request_at_) return;
  const bool is_starting_up = now - *joined_at_ < kStartupPeriod;
  if (!is_starting_up && now - differing_since_ < kDisseminationTime) return;
  std::string peer = *differing_peer_;
  if (!std::exchange(seed_list_requested_, true)) {
    peer = RandomSeed().value_or(std::move(peer));
  }
  outgoing.push_back(
      MakeOutgoing(std::move(peer), MemberMessageKind::kListRequest));
  next_list_request_at_ =
      now + (is_starting_up ? kStartupListInterval : kDisseminationTime);
}

std::vector<OutgoingMemberMessage> Membership::Tick(TimePoint now) {
  now_ = now;
  // Acknowledgements that arrived while this process was paused are still
  // unread.
  const bool was_paused =
      last_tick_at_ && now - *last_tick_at_ > interval() + kPauseThreshold;
  last_tick_at_ = now;
  if (was_paused) probes_.clear();
  ++round_;
  RemoveExpiredGone(now);
  if (!joined_at_) return RequestFirstList();
  std::vector<OutgoingMemberMessage> outgoing;
  CheckProbes(now, outgoing);
  const bool probes_remote = round_ % kRoundsPerRemoteProbe == 0;
  auto next = NextProbeTarget(!probes_remote);
  if (!next) next = NextProbeTarget(probes_remote);
  if (next) outgoing.push_back(StartProbe(*next, now));
  if (round_ % kRoundsPerGoneProbe == 0 || !next) {
    if (const auto gone = RandomGoneMember()) {
      outgoing.push_back(StartProbe(*gone, now));
    }
  }
  GossipToLocalPeers(outgoing);
  RequestDifferingList(now, outgoing);
  return outgoing;
}

void Membership::CompareDigest(const MemberMessage& message) {
  if (message.digest == digest_) {
    differing_peer_.reset();
    return;
  }
  // Lists are long, so a peer in the own data centre is preferred as the
  // source.
  const bool is_local = message.sender.data_centre == options_.self.data_centre;
  if (!differing_peer_) differing_since_ = now_;
  if (is_local || !differing_peer_) differing_peer_ = message.sender.address;
}

void Membership::ForwardAck(const MemberMessage& message,
                            std::vector<OutgoingMemberMessage>& outgoing) {
  const auto forwarded =
      std::find_if(forwarded_probes_.begin(), forwarded_probes_.end(),
                   [&](const ForwardedProbe& one) {
                     return one.number == message.probe_number;
                   });
  if (forwarded == forwarded_probes_.end()) return;
  outgoing.push_back(MakeOutgoing(forwarded->requester,
                                  MemberMessageKind::kProbeAck,
                                  forwarded->requester_number, message.target));
  forwarded_probes_.erase(forwarded);
}

std::vector<OutgoingMemberMessage> Membership::OnMessage(
    const MemberMessage& message, TimePoint now) {
  now_ = now;
  const std::string& from = message.sender.address;
  if (from == options_.self.address) return {};
  last_received_at_ = now;
  std::vector<OutgoingMemberMessage> outgoing;
  if (!joined_at_) {
    OnJoined(now);
    if (message.kind != MemberMessageKind::kList) {
      outgoing.push_back(MakeOutgoing(from, MemberMessageKind::kListRequest));
    }
    // Every seed must know this daemon, so that the lists of seeds are
    // complete.
    for (const std::string& seed : options_.seed_addresses) {
      if (seed == options_.self.address || seed == from) continue;
      outgoing.push_back(MakeOutgoing(seed, MemberMessageKind::kProbeAck));
    }
  }
  ApplyUpdate({.member = message.sender}, now, UpdateSource::kGossip);
  const bool from_list = message.kind == MemberMessageKind::kList;
  for (const MemberUpdate& update : message.updates) {
    ApplyUpdate(update, now,
                from_list ? UpdateSource::kList : UpdateSource::kGossip);
  }
  CompareDigest(message);
  if (from_list && message.knows_fleet_size && !differing_peer_) {
    has_full_list_ = true;
  }
  switch (message.kind) {
    case MemberMessageKind::kProbe:
      outgoing.push_back(MakeOutgoing(from, MemberMessageKind::kProbeAck,
                                      message.probe_number,
                                      options_.self.address));
      break;
    case MemberMessageKind::kProbeAck:
      std::erase_if(probes_, [&](const Probe& probe) {
        return probe.number == message.probe_number &&
               probe.address == message.target;
      });
      ForwardAck(message, outgoing);
      break;
    case MemberMessageKind::kIndirectProbe:
      forwarded_probes_.push_back({.number = ++last_probe_number_,
                                   .requester = from,
                                   .requester_number = message.probe_number});
      if (forwarded_probes_.size() > kMaxForwardedProbes) {
        forwarded_probes_.erase(forwarded_probes_.begin());
      }
      outgoing.push_back(MakeOutgoing(message.target, MemberMessageKind::kProbe,
                                      forwarded_probes_.back().number,
                                      message.target));
      break;
    case MemberMessageKind::kListRequest: {
      auto list = MakeFullList(from, now);
      std::move(list.begin(), list.end(), std::back_inserter(outgoing));
      break;
    }
    case MemberMessageKind::kList:
      break;
  }
  return outgoing;
}

OutgoingMemberMessage Membership::Ping(const std::string& address) {
  OutgoingMemberMessage ping = MakeCarrier(address);
  ping.message.kind = MemberMessageKind::kProbe;
  return ping;
}

OutgoingMemberMessage Membership::MakeCarrier(const std::string& address) {
  return {.to = address,
          .message = {.kind = MemberMessageKind::kProbeAck,
                      .sender = options_.self,
                      .digest = digest_,
                      .knows_fleet_size = knows_fleet_size(now_)}};
}

std::vector<OutgoingMemberMessage> Membership::Leave() {
  is_leaving_ = true;
  std::vector<OutgoingMemberMessage> outgoing;
  auto peers =
      PeerAddressesWhere([](const Record& record) { return !record.gone_at; });
  for (std::string& peer : RandomSubset(std::move(peers), kLeaveFanout)) {
    outgoing.push_back(
        MakeOutgoing(std::move(peer), MemberMessageKind::kProbeAck));
    outgoing.back().message.updates = {
        {.member = options_.self, .gone_for = std::chrono::seconds(0)}};
  }
  return outgoing;
}

}  // namespace lacewingknot
