#include "lacewingknot/edge/peer_gossip.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/gossip_messages.h"
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
      membership_({.self = {.address = options_.listen,
                            .incarnation = options_.incarnation,
                            .data_centre = options_.data_centre,
                            .processor_share = options_.processor_share},
                   .seed_addresses = options_.seeds,
                   .random_seed = options_.random_seed}) {}

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
  PingSentinels(now);
  timer_.expires_after(membership_.interval());
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) RunRound();
  });
}

void PeerGossip::SetStoreConfirmed(std::uint64_t revision) {
  store_revision_ = revision;
  store_confirmed_at_ = BootClock::now().time_since_epoch().count();
}

void PeerGossip::PingSentinels(TimePoint now) {
  if (is_sentinel_ || sentinels_.empty()) return;
  std::vector<OutgoingMemberMessage> pings{membership_.Ping(sentinels_[0])};
  if (sentinels_.size() > 1 &&
      now - last_report_confirmed_at_ > kReportOverdue) {
    pings.push_back(membership_.Ping(sentinels_[1]));
  }
  Send(pings);
}

void PeerGossip::Send(std::span<const OutgoingMemberMessage> messages) {
  const TimePoint::rep confirmed_at = store_confirmed_at_;
  std::optional<Duration> age;
  if (confirmed_at != 0) {
    age = BootClock::now() - TimePoint(TimePoint::duration(confirmed_at));
  }
  for (const OutgoingMemberMessage& outgoing : messages) {
    const auto endpoint = ParseEndpoint(outgoing.to);
    if (!endpoint) continue;  // Sent by a peer, and may be malformed.
    const std::string bytes = EncodeGossip({.membership = outgoing.message,
                                            .store_revision = store_revision_,
                                            .store_confirmation_age = age});
    boost::system::error_code ignored;  // Datagrams may be lost anyway.
    socket_.send_to(asio::buffer(bytes),
                    asio::ip::udp::endpoint(endpoint.value().address(),
                                            endpoint.value().port()),
                    0, ignored);
  }
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
  Send(membership_.OnMessage(message.value().membership, now));
  StoreReport report{.revision = message.value().store_revision};
  if (const auto& age = message.value().store_confirmation_age) {
    report.confirmed_at = now - *age;
    last_report_confirmed_at_ =
        std::max(last_report_confirmed_at_, report.confirmed_at);
  }
  if (options_.on_store_report) options_.on_store_report(report);
}

void PeerGossip::ReportMembers() {
  if (membership_.version() == reported_version_) return;
  reported_version_ = membership_.version();
  const auto alive = membership_.AliveMembers();
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
