#include "lacewingknot/edge/peer_gossip.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <map>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/net/http_connection.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

namespace {

// Most addresses listed in one log line.
constexpr std::size_t kMaxLoggedMembers = 4;

std::string JoinFirst(std::span<const std::string> addresses) {
  std::string text;
  for (const std::string& address :
       addresses.first(std::min(addresses.size(), kMaxLoggedMembers))) {
    if (!text.empty()) text += ',';
    text += address;
  }
  return text;
}

std::vector<std::string> Difference(std::span<const std::string> sorted,
                                    std::span<const std::string> excluded) {
  std::vector<std::string> difference;
  std::set_difference(sorted.begin(), sorted.end(), excluded.begin(),
                      excluded.end(), std::back_inserter(difference));
  return difference;
}

}  // namespace

PeerGossip::PeerGossip(asio::io_context& io, Options options)
    : options_(std::move(options)),
      io_(io),
      socket_(io),
      timer_(io),
      spread_timer_(io),
      membership_({.self = {.address = options_.listen,
                            .incarnation = options_.incarnation,
                            .data_centre = options_.data_centre,
                            .processor_share = options_.processor_share},
                   .seed_addresses = options_.seeds,
                   .random_seed = options_.random_seed}),
      quota_keeper_({.self = options_.listen,
                     .bounds = options_.quota_bounds.value_or(QuotaBounds())},
                    BootClock::now()),
      contact_(options_.data_centre),
      contact_timer_(io),
      random_(static_cast<std::uint32_t>(options_.random_seed)),
      contents_peers_({.sources = RankSeeds(options_.listen, options_.seeds)}) {
}

Result<void> PeerGossip::Start() {
  const auto endpoint = ParseEndpoint(options_.listen);
  if (!endpoint) return endpoint.error();
  const asio::ip::udp::endpoint local(endpoint.value().address(),
                                      endpoint.value().port());
  boost::system::error_code error;
  socket_.open(local.protocol(), error);
  if (!error) socket_.bind(local, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Error{ErrorType::kConnectFailed,
                 "cannot bind " + options_.listen + ": " + error.message()};
  }
  if (options_.quota_bounds) {
    std::vector<Member> seeds;
    for (const std::string& seed : options_.seeds) {
      seeds.push_back({.address = seed});
    }
    if (!has_other_seeds()) seeds = {{.address = options_.listen}};
    quota_keeper_.SetMembers(seeds, !has_other_seeds(), BootClock::now());
    options_.on_quota_members(seeds, !has_other_seeds());
    CheckContact();
  }
  Receive();
  RunRound();
  return Ok();
}

void PeerGossip::AnnounceStop() {
  asio::post(io_, [this] { Send(membership_.Leave()); });
}

void PeerGossip::RunRound() {
  const TimePoint now = BootClock::now();
  Send(membership_.Tick(now));
  ReportFleetSize();
  ReportMembers();
  UpdateContentsPeers(now);
  ReportQuotaMembers(now);
  PingSentinels(now);
  timer_.expires_after(membership_.interval());
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) RunRound();
  });
}

void PeerGossip::SetStoreConfirmed(const StoreReport& report) {
  const std::lock_guard lock(store_report_mutex_);
  if (report.epoch > store_report_.epoch) {
    tells_epoch_until_ = BootClock::now() + kTellStateFor;
  }
  store_report_ = report;
}

StoreReport PeerGossip::LatestStoreReport() const {
  const std::lock_guard lock(store_report_mutex_);
  return store_report_;
}

ContentsPeers PeerGossip::contents_peers() const {
  const std::lock_guard lock(contents_peers_mutex_);
  return contents_peers_;
}

void PeerGossip::UpdateContentsPeers(TimePoint now) {
  if (!membership_.knows_fleet_size(now)) return;
  // A daemon that knows no other one asks the seeds, which may be starting.
  const bool is_settled = alive_.size() > 1;
  const std::lock_guard lock(contents_peers_mutex_);
  contents_peers_ = {
      .is_settled = is_settled,
      .is_sentinel = is_settled && is_sentinel_,
      .sources =
          is_settled ? sentinels_ : RankSeeds(options_.listen, options_.seeds)};
}

void PeerGossip::PingSentinels(TimePoint now) {
  if (is_sentinel_ || sentinels_.empty()) return;
  if (follows_source_) {
    if (++rounds_ % kRoundsBetweenPings != 0) return;
    Send(std::vector<OutgoingMemberMessage>{
        membership_.Ping(sentinels_[sentinels_.size() > 1 ? 1 : 0])});
    return;
  }
  std::vector<OutgoingMemberMessage> pings{membership_.Ping(sentinels_[0])};
  if (sentinels_.size() > 1 &&
      now - last_report_confirmed_at_ > kReportOverdue) {
    pings.push_back(membership_.Ping(sentinels_[1]));
  }
  Send(pings);
}

std::size_t PeerGossip::Send(std::span<const OutgoingMemberMessage> messages) {
  std::size_t bytes = 0;
  const TimePoint now = BootClock::now();
  const StoreReport report = LatestStoreReport();
  for (const OutgoingMemberMessage& outgoing : messages) {
    bytes +=
        kUdpAndIpHeaderBytes +
        SendDatagram(outgoing.to,
                     {.membership = outgoing.message,
                      .store_revision = report.revision,
                      .store_epoch = EpochToTell(report, now),
                      .store_confirmation_age = AgeOf(report.confirmed_at, now),
                      .store_unbroken_for = AgeOf(report.unbroken_since, now),
                      .store_state = StateToTell(report, now)});
  }
  return bytes;
}

void PeerGossip::TellIfOutdated(const StoreReport& report,
                                const std::string& peer, TimePoint now) {
  if (CompareReports(LatestStoreReport(), report, now) !=
      Comparison::kPeerMayBeOutdated) {
    return;
  }
  const bool is_new = now >= tells_state_until_;
  tells_state_until_ = now + kTellStateFor;
  if (!is_new) return;
  const std::vector<OutgoingMemberMessage> pings{membership_.Ping(peer)};
  Send(pings);
}

StoreState PeerGossip::StateToTell(const StoreReport& report,
                                   TimePoint now) const {
  return is_sentinel_ || now < tells_state_until_ ? report.state : StoreState();
}

std::uint64_t PeerGossip::EpochToTell(const StoreReport& report,
                                      TimePoint now) const {
  const std::lock_guard lock(store_report_mutex_);
  return is_sentinel_ || now < std::max(tells_state_until_, tells_epoch_until_)
             ? report.epoch
             : 0;
}

std::size_t PeerGossip::SendDatagram(const std::string& address,
                                     const GossipMessage& message) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return 0;  // Sent by a peer, and may be malformed.
  const std::string bytes = EncodeGossip(message);
  boost::system::error_code ignored;  // Datagrams may be lost anyway.
  return socket_.send_to(asio::buffer(bytes),
                         asio::ip::udp::endpoint(endpoint.value().address(),
                                                 endpoint.value().port()),
                         0, ignored);
}

void PeerGossip::SpreadStatements(std::span<const StatementReport> reports) {
  const TimePoint now = BootClock::now();
  for (const StatementReport& report : reports) {
    std::erase_if(pending_statements_, [&](const PendingStatement& pending) {
      return pending.report.upstream == report.upstream;
    });
    pending_statements_.push_back({.report = report, .known_at = now});
  }
  if (pending_statements_.size() > kMaxPendingStatements) {
    pending_statements_.erase(
        pending_statements_.begin(),
        pending_statements_.end() -
            static_cast<std::ptrdiff_t>(kMaxPendingStatements));
  }
  if (std::exchange(has_pending_spread_, true)) return;
  spread_timer_.expires_after(std::max(kSpreadDelay, next_spread_at_ - now));
  spread_timer_.async_wait([this](boost::system::error_code error) {
    has_pending_spread_ = false;
    if (!error) SendPendingStatements();
  });
}

void PeerGossip::SendPendingStatements() {
  const TimePoint now = BootClock::now();
  std::vector<StatementReport> reports;
  for (PendingStatement& pending : std::exchange(pending_statements_, {})) {
    StatementReport& report = pending.report;
    report.age += now - pending.known_at;
    report.wait =
        std::max(report.wait - (now - pending.known_at), Duration::zero());
    reports.push_back(std::move(report));
  }
  std::vector<std::string> others = reported_addresses_;
  std::erase(others, options_.listen);
  std::vector<std::string> chosen;
  std::sample(others.begin(), others.end(), std::back_inserter(chosen),
              kStatementFanout, random_);
  std::size_t bytes = 0;
  constexpr std::size_t kMax = GossipMessage::kMaxStatements;
  for (std::size_t first = 0; first < reports.size(); first += kMax) {
    const auto part = std::span(reports).subspan(
        first, std::min(kMax, reports.size() - first));
    for (const std::string& address : chosen) {
      bytes += SendStatements(address, part);
    }
  }
  next_spread_at_ =
      now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(bytes) / kMaxSpreadBytesPerSecond));
}

std::size_t PeerGossip::SendStatements(
    const std::string& address, std::span<const StatementReport> reports) {
  if (reports.empty()) return 0;
  const auto part =
      reports.first(std::min(reports.size(), GossipMessage::kMaxStatements));
  GossipMessage message = MakeCarrier(address);
  message.statements = {part.begin(), part.end()};
  return SendDatagram(address, message);
}

GossipMessage PeerGossip::MakeCarrier(const std::string& address) {
  const StoreReport store = LatestStoreReport();
  return {.membership = membership_.MakeCarrier(address).message,
          .store_revision = store.revision,
          .store_epoch = EpochToTell(store, BootClock::now())};
}

std::vector<DemandSum> PeerGossip::RecordDemands(
    std::string_view daemon, std::span<const DemandReport> reports) {
  const TimePoint now = BootClock::now();
  std::vector<DemandSum> sums;
  for (const DemandReport& report : reports) {
    if (auto sum = demand_keeper_.OnReport(daemon, report, now)) {
      sums.push_back(std::move(*sum));
    }
  }
  return sums;
}

void PeerGossip::SendDemands(std::span<const DemandReport> reports) {
  std::map<std::string, std::vector<DemandReport>> by_keeper;
  for (const DemandReport& report : reports) {
    auto& group = by_keeper[KeeperOf(report.upstream, alive_)];
    if (group.size() < GossipMessage::kMaxDemands) group.push_back(report);
  }
  for (const auto& [keeper, group] : by_keeper) {
    if (keeper == options_.listen) {
      options_.on_demand_sums(RecordDemands(keeper, group));
    } else {
      GossipMessage message = MakeCarrier(keeper);
      message.demands = group;
      SendDatagram(keeper, message);
    }
  }
}

bool PeerGossip::has_other_seeds() const {
  return std::any_of(
      options_.seeds.begin(), options_.seeds.end(),
      [&](const std::string& seed) { return seed != options_.listen; });
}

void PeerGossip::ReportQuotaMembers(TimePoint now) {
  if (!options_.quota_bounds || quota_version_ == membership_.version() ||
      (has_other_seeds() && !membership_.knows_fleet_size(now))) {
    return;
  }
  quota_version_ = membership_.version();
  const std::vector<Member> alive = membership_.AliveMembers();
  quota_keeper_.SetMembers(alive, true, now);
  contact_.SetMembers(alive, now);
  options_.on_quota_members(alive, true);
}

void PeerGossip::SetQuotas(QuotaTable quotas) {
  has_quotas_ = !quotas.empty();
  quota_keeper_.SetQuotas(std::move(quotas), BootClock::now());
}

void PeerGossip::CheckContact() {
  const TimePoint now = BootClock::now();
  if (has_quotas_) {
    std::vector<OutgoingMemberMessage> probes;
    for (const std::string& data_centre : contact_.TakeDueProbes(now)) {
      std::vector<const Member*> members;
      for (const Member& member : alive_) {
        if (member.data_centre == data_centre &&
            member.address != options_.listen) {
          members.push_back(&member);
        }
      }
      if (members.empty()) continue;
      const Member* chosen = members[random_() % members.size()];
      probes.push_back(membership_.Ping(chosen->address));
    }
    SendCounted(probes);
    UpdateMayGrant(now);
  }
  contact_timer_.expires_after(kContactCheckInterval);
  contact_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) CheckContact();
  });
}

void PeerGossip::UpdateMayGrant(TimePoint now) {
  const bool may_grant = contact_.HasMajority(now);
  quota_keeper_.SetMayGrant(may_grant, now);
  if (std::exchange(may_grant_, may_grant) == may_grant) return;
  if (options_.on_quota_contact) options_.on_quota_contact(may_grant);
}

void PeerGossip::OnQuotaMessages(const std::string& from,
                                 std::span<const QuotaMessage> messages) {
  if (!options_.quota_bounds) return;
  const TimePoint now = BootClock::now();
  UpdateMayGrant(now);
  std::vector<QuotaMessage> answers;
  std::vector<OutgoingQuotaMessage> outgoing;
  for (const QuotaMessage& message : messages) {
    if (message.kind == QuotaMessageKind::kGrant ||
        message.kind == QuotaMessageKind::kElsewhere) {
      answers.push_back(message);
    }
    for (auto& sent : quota_keeper_.OnMessage(from, message, now)) {
      outgoing.push_back(std::move(sent));
    }
  }
  if (!answers.empty()) options_.on_quota_messages(from, std::move(answers));
  for (const std::string& team : quota_keeper_.TakeStartedEmpty()) {
    if (options_.on_quota_takeover) options_.on_quota_takeover(team);
  }
  SendQuotaMessages(outgoing);
}

void PeerGossip::SendQuotaMessages(
    std::span<const OutgoingQuotaMessage> messages) {
  std::map<std::string, std::vector<QuotaMessage>> by_receiver;
  for (const OutgoingQuotaMessage& outgoing : messages) {
    by_receiver[outgoing.to].push_back(outgoing.message);
  }
  for (auto& [to, group] : by_receiver) {
    if (to == options_.listen) {
      OnQuotaMessages(to, group);
      continue;
    }
    constexpr std::size_t kMax = GossipMessage::kMaxQuotaMessages;
    for (std::size_t first = 0; first < group.size(); first += kMax) {
      const auto part =
          std::span(group).subspan(first, std::min(kMax, group.size() - first));
      SendQuotaDatagram(to, {part.begin(), part.end()});
    }
  }
}

void PeerGossip::SaveQuotaBytes(TimePoint now) {
  quota_bytes_left_ = std::min(
      kMaxQuotaBytes,
      quota_bytes_left_ +
          std::chrono::duration<double>(now - quota_bytes_at_).count() *
              kMaxQuotaBytesPerSecond);
  quota_bytes_at_ = now;
}

void PeerGossip::SendCounted(std::span<const OutgoingMemberMessage> messages) {
  // A probe and its headers. Lists and updates of members, which answers may
  // carry as well, are not caused by quotas.
  constexpr std::size_t kMaxProbeBytes = 150;
  for (const OutgoingMemberMessage& outgoing : messages) {
    const std::size_t bytes = Send({&outgoing, 1});
    const MemberMessageKind kind = outgoing.message.kind;
    if (!has_quotas_ || (kind != MemberMessageKind::kProbe &&
                         kind != MemberMessageKind::kProbeAck)) {
      continue;
    }
    SaveQuotaBytes(BootClock::now());
    quota_bytes_left_ =
        std::max(quota_bytes_left_ -
                     static_cast<double>(std::min(bytes, kMaxProbeBytes)),
                 -kMaxQuotaBytes);
  }
}

void PeerGossip::SendQuotaDatagram(const std::string& to,
                                   std::vector<QuotaMessage> messages) {
  const TimePoint now = BootClock::now();
  SaveQuotaBytes(now);
  const bool is_ask = std::all_of(
      messages.begin(), messages.end(), [](const QuotaMessage& message) {
        return message.kind == QuotaMessageKind::kAsk;
      });
  if (quota_bytes_left_ <
      (is_ask ? kQuotaReservedForAnswers * kMaxQuotaBytes : 0)) {
    if (options_.on_quota_message_dropped) options_.on_quota_message_dropped();
    return;
  }
  const std::size_t bytes =
      SendDatagram(to, {.membership = membership_.MakeCarrier(to).message,
                        .store_revision = LatestStoreReport().revision,
                        .quota_messages = std::move(messages)});
  quota_bytes_left_ -= static_cast<double>(bytes + kUdpAndIpHeaderBytes);
}

void PeerGossip::Receive() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_endpoint_,
      [this](boost::system::error_code error, std::size_t bytes) {
        if (error == asio::error::operation_aborted) return;
        if (!error) OnDatagram(bytes);
        Receive();
      });
}

void PeerGossip::OnDatagram(std::size_t bytes) {
  const auto message = DecodeGossip({receive_buffer_.data(), bytes});
  if (!message) {
    LogEvent(Event::kPeerMessageMalformed,
             {{"from", sender_endpoint_.address().to_string()},
              {"reason", message.error().detail}});
    return;
  }
  const TimePoint now = BootClock::now();
  StoreReport report{.epoch = message.value().store_epoch,
                     .revision = message.value().store_revision,
                     .state = message.value().store_state};
  if (const auto& age = message.value().store_confirmation_age) {
    report.confirmed_at = now - *age;
    last_report_confirmed_at_ =
        std::max(last_report_confirmed_at_, report.confirmed_at);
  }
  if (const auto& unbroken_for = message.value().store_unbroken_for) {
    report.unbroken_since = now - *unbroken_for;
  }
  TellIfOutdated(report, message.value().membership.sender.address, now);
  // Answers of probes cannot be told from those of contact probes.
  SendCounted(membership_.OnMessage(message.value().membership, now));
  if (options_.on_store_report) options_.on_store_report(report);
  if (options_.on_store_confirmed_at && report.confirmed_at != TimePoint{}) {
    options_.on_store_confirmed_at(message.value().membership.sender.address,
                                   report.confirmed_at);
  }
  const MemberMessage& membership = message.value().membership;
  if (!message.value().statements.empty() && options_.on_statements) {
    options_.on_statements(message.value().statements,
                           membership.sender.address);
  }
  if (!message.value().demands.empty()) {
    auto sums =
        RecordDemands(membership.sender.address, message.value().demands);
    if (!sums.empty()) {
      const std::string& daemon = membership.sender.address;
      GossipMessage answer = MakeCarrier(daemon);
      answer.demand_sums = std::move(sums);
      SendDatagram(daemon, answer);
    }
  }
  contact_.OnHeard(membership.sender.data_centre, now);
  if (!message.value().quota_messages.empty()) {
    OnQuotaMessages(membership.sender.address, message.value().quota_messages);
  }
  if (!message.value().demand_sums.empty() && options_.on_demand_sums) {
    options_.on_demand_sums(message.value().demand_sums);
  }
  if (membership.kind == MemberMessageKind::kProbe &&
      !membership.knows_fleet_size && options_.on_statements_wanted) {
    options_.on_statements_wanted(membership.sender.address);
  }
}

void PeerGossip::ReportMembers() {
  if (membership_.version() == reported_version_) return;
  reported_version_ = membership_.version();
  alive_ = membership_.AliveMembers();
  const auto& alive = alive_;
  std::vector<std::string> addresses;
  addresses.reserve(alive.size());
  for (const Member& member : alive) addresses.push_back(member.address);
  const auto joined = Difference(addresses, reported_addresses_);
  const auto gone = Difference(reported_addresses_, addresses);
  if (joined.empty() && gone.empty()) return;
  LogEvent(Event::kMembersChanged, {{"alive", addresses.size()},
                                    {"joined", joined.size()},
                                    {"first_joined", JoinFirst(joined)},
                                    {"gone", gone.size()},
                                    {"first_gone", JoinFirst(gone)}});
  reported_addresses_ = std::move(addresses);
  const auto sentinels = SelectSentinels(alive);
  is_sentinel_ = std::find(sentinels.begin(), sentinels.end(),
                           options_.listen) != sentinels.end();
  auto ranked = RankSentinels(
      {.address = options_.listen, .data_centre = options_.data_centre}, alive,
      sentinels);
  if (ranked != sentinels_) {
    LogEvent(Event::kSentinelsChanged,
             {{"is_sentinel", is_sentinel_.load() ? "yes" : "no"},
              {"asks", JoinFirst(ranked)}});
  }
  sentinels_ = std::move(ranked);
  if (options_.on_members) options_.on_members(alive);
}

void PeerGossip::ReportFleetSize() {
  const TimePoint now = BootClock::now();
  if (!membership_.knows_fleet_size(now)) return;
  const std::size_t size = membership_.FleetSize(now);
  if (size == reported_size_) return;
  LogEvent(Event::kFleetSizeChanged, {{"from", reported_size_}, {"to", size}});
  reported_size_ = size;
  options_.on_fleet_size(size);
}

}  // namespace lacewingknot::edge
