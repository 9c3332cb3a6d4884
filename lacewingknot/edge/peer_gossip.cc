#include "lacewingknot/edge/peer_gossip.h"

#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/net/http_connection.h"

namespace lacewingknot::edge {
namespace {

namespace asio = boost::asio;

// First element of each message; another number is another layout.
constexpr std::uint32_t kGossipVersion = 2;
// A message with more members is not one of ours.
constexpr std::size_t kMaxMembers = 64;
// Every so many rounds a seed is asked besides, to heal a fleet that was split.
constexpr std::uint64_t kSeedEvery = 8;

using WireMember =
    std::tuple<std::string, std::uint64_t, std::uint64_t, std::string, double>;
using WireMessage = std::tuple<std::uint32_t, std::uint64_t, std::uint64_t,
                               std::vector<WireMember>>;

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  std::vector<WireMember> members;
  for (const Member& member : message.members) {
    members.emplace_back(member.address, member.incarnation, member.heartbeat,
                         member.data_centre, member.processor_share);
  }
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, WireMessage(kGossipVersion, message.fleet_size,
                                   message.store_revision, members));
  return {bytes.data(), bytes.size()};
}

Result<GossipMessage> DecodeGossip(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    const auto [version, size, revision, members] =
        handle.get().as<WireMessage>();
    if (version != kGossipVersion || members.size() > kMaxMembers) {
      return Error{ErrorType::kPeerProtocol, "another version or too long"};
    }
    GossipMessage message{.fleet_size = size, .store_revision = revision};
    for (const auto& [address, incarnation, heartbeat, data_centre, share] :
         members) {
      message.members.push_back({.address = address,
                                 .incarnation = incarnation,
                                 .heartbeat = heartbeat,
                                 .data_centre = data_centre,
                                 .processor_share = share});
    }
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorType::kPeerProtocol, error.what()};
  }
}

PeerGossip::PeerGossip(asio::io_context& io, Options options)
    : options_(std::move(options)),
      socket_(io),
      timer_(io),
      members_({.address = options_.listen,
                .incarnation = options_.incarnation,
                .data_centre = options_.data_centre,
                .processor_share = options_.processor_share}),
      random_(options_.random_seed) {}

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
  Tick();
  return Ok();
}

void PeerGossip::Tick() {
  const auto peer = members_.PickPeer(random_);
  if (peer) Send(*peer);
  const bool joining = !peer;
  if (!options_.seeds.empty() && (joining || ticks_ % kSeedEvery == 0)) {
    std::uniform_int_distribution<std::size_t> any(0,
                                                   options_.seeds.size() - 1);
    const std::string& seed = options_.seeds[any(random_)];
    if (seed != options_.listen) Send(seed);
  }
  ++ticks_;
  NoteSize();
  NoteMembers();
  timer_.expires_after(joining ? kJoinInterval : kInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void PeerGossip::Send(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return;  // A peer's own word; it names nobody.
  const GossipMessage message{.members = members_.Sample(kSample, random_),
                              .fleet_size = members_.Known(BootClock::now()),
                              .store_revision = store_revision_};
  const std::string bytes = EncodeGossip(message);
  boost::system::error_code ignored;  // A datagram may be lost anyway.
  socket_.send_to(asio::buffer(bytes),
                  asio::ip::udp::endpoint(endpoint.value().address(),
                                          endpoint.value().port()),
                  0, ignored);
}

void PeerGossip::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](boost::system::error_code error, std::size_t bytes) {
        if (error == asio::error::operation_aborted) return;
        if (!error) OnDatagram(bytes);
        Receive();
      });
}

void PeerGossip::OnDatagram(std::size_t bytes) {
  const auto message = DecodeGossip({buffer_.data(), bytes});
  if (!message) {
    LogEvent(Event::kPeerMessageMalformed,
             {{"from", from_.address().to_string()},
              {"reason", message.error().detail}});
    return;
  }
  const TimePoint now = BootClock::now();
  const GossipMessage& news = message.value();
  const std::size_t before = members_.Known(now);
  members_.Merge(news.members, now);
  members_.OnPeerSize(news.fleet_size, now);
  NoteSize();
  const std::uint64_t own = store_revision_;
  if (news.store_revision > own) {
    options_.on_store_revision(news.store_revision);
  }
  const bool sender_lags =
      news.store_revision < own || news.fleet_size + 1 < before;
  if (sender_lags && !news.members.empty()) Send(news.members.front().address);
}

void PeerGossip::NoteMembers() {
  const auto alive = members_.Alive(BootClock::now());
  std::vector<std::string> addresses;
  addresses.reserve(alive.size());
  for (const Member& member : alive) addresses.push_back(member.address);
  if (addresses == reported_members_) return;
  reported_members_ = std::move(addresses);
  if (options_.on_members) options_.on_members(alive);
}

void PeerGossip::NoteSize() {
  const std::size_t size = members_.Size(BootClock::now());
  if (size == reported_size_) return;
  LogEvent(Event::kFleetSizeChanged, {{"from", reported_size_}, {"to", size}});
  reported_size_ = size;
  options_.on_fleet_size(size);
}

}  // namespace lacewingknot::edge
