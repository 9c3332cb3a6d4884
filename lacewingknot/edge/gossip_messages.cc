#include "lacewingknot/edge/gossip_messages.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

#include "lacewingknot/edge/internal/object_count.h"
#include "lacewingknot/edge/internal/statement_codec.h"

namespace lacewingknot::edge {
namespace {

// First element of each message. A new layout needs a new number.
constexpr std::uint32_t kGossipVersion = 3;
// Longest accepted name or address; valid ones are shorter.
constexpr std::size_t kMaxNameBytes = 64;
// Units of an encoded processor share per processor.
constexpr double kShareUnitsPerProcessor = 100;
// A longer time since a confirmation or a loss is as good as none.
constexpr std::uint64_t kMaxStoreAgeMs = 3'600'000;
constexpr double kDemandUnitsPerAttempt = 1'000;
constexpr std::uint64_t kMaxDemandUnits = 1'000'000'000;
constexpr std::uint32_t kMinDemandIntervalMs = 500;
constexpr std::uint32_t kMaxDemandIntervalMs = 60'000;

// Address, incarnation, index of the data centre, processor share, and 0 if the
// member is alive, otherwise 1 plus the seconds for which it has been gone.
using WireMember = std::tuple<std::string, std::uint64_t, std::uint32_t,
                              std::uint32_t, std::uint32_t>;
// Version, kind, number, about, digest, whether the sender knows the fleet,
// revision, data centres, members, of which the sender is the first, 0 or 1
// plus the milliseconds since the store confirmed the revision, statements of
// upstreams, demands, sums of demands, 0 or 1 plus the milliseconds since the
// sender last lost the store, the store's contents (EncodeState), and messages
// about quotas. Daemons of earlier releases do not send the last seven, three,
// two or one, and ignore them.

// Upstream, incarnation, thousandths of an attempt per second, and milliseconds
// until the next report.
using WireDemand =
    std::tuple<std::string, std::int64_t, std::uint64_t, std::uint32_t>;
// Upstream, incarnation, thousandths of an attempt per second.
using WireDemandSum = std::tuple<std::string, std::int64_t, std::uint64_t>;

// Kind and flags, team, number, tokens, tokens in advance, tokens given back,
// milliseconds to wait, address of a keeper.
using WireQuotaMessage =
    std::tuple<std::uint32_t, std::string, std::uint64_t, std::uint32_t,
               std::uint32_t, std::uint32_t, std::uint32_t, std::string>;
constexpr std::uint32_t kQuotaStandIn = 1U << 8;
constexpr std::uint32_t kQuotaHasBucket = 1U << 9;
constexpr std::uint32_t kQuotaKindMask = kQuotaStandIn - 1;
constexpr std::uint32_t kMaxQuotaTokens = 1'000'000;
constexpr std::uint32_t kMaxQuotaWaitMs = 3'600'000;

using WireMessage =
    std::tuple<std::uint32_t, std::uint32_t, std::uint64_t, std::string,
               std::uint64_t, bool, std::uint64_t, std::vector<std::string>,
               std::vector<WireMember>, std::uint64_t,
               std::vector<WireStatement>, std::vector<WireDemand>,
               std::vector<WireDemandSum>, std::uint64_t, std::string,
               std::vector<WireQuotaMessage>>;

class MemberPacker {
 public:
  void Add(const Member& member, std::uint32_t gone) {
    auto found = std::find(data_centres_.begin(), data_centres_.end(),
                           member.data_centre);
    if (found == data_centres_.end()) {
      found = data_centres_.insert(found, member.data_centre);
    }
    members_.emplace_back(
        member.address, member.incarnation,
        static_cast<std::uint32_t>(found - data_centres_.begin()),
        static_cast<std::uint32_t>(
            std::lround(member.processor_share * kShareUnitsPerProcessor)),
        gone);
  }
  const std::vector<std::string>& data_centres() const { return data_centres_; }
  const std::vector<WireMember>& members() const { return members_; }

 private:
  std::vector<std::string> data_centres_;
  std::vector<WireMember> members_;
};

MemberUpdate ParseMember(const WireMember& wire,
                         const std::vector<std::string>& data_centres) {
  const auto& [address, incarnation, data_centre, share, gone] = wire;
  if (address.size() > kMaxNameBytes) throw msgpack::type_error();
  MemberUpdate update{.member = {.address = address,
                                 .incarnation = incarnation,
                                 .data_centre = data_centres.at(data_centre),
                                 .processor_share = static_cast<double>(share) /
                                                    kShareUnitsPerProcessor}};
  if (gone > 0) update.gone_for = std::chrono::seconds(gone - 1);
  return update;
}

std::uint64_t ToDemandUnits(double per_second) {
  return static_cast<std::uint64_t>(
      std::llround(per_second * kDemandUnitsPerAttempt));
}

// Ages are sent as 0 if there is none, otherwise as 1 plus the milliseconds.
std::uint64_t EncodeAge(const std::optional<Duration>& age) {
  if (!age) return 0;
  return static_cast<std::uint64_t>(std::max<std::int64_t>(ToMillis(*age), 0)) +
         1;
}

std::optional<Duration> DecodeAge(std::uint64_t wire) {
  if (wire == 0 || wire > kMaxStoreAgeMs) return std::nullopt;
  return std::chrono::milliseconds(wire - 1);
}

constexpr int kBitsPerByte = 8;
constexpr std::size_t kDigestBytes = sizeof(StoreState::digest);

// Appends `value` in as few bytes as it needs, none for 0, in little-endian
// order; returns their number.
std::size_t AppendShortest(std::uint64_t value, std::string& bytes) {
  std::size_t count = 0;
  for (; value != 0; value >>= kBitsPerByte, ++count) {
    bytes.push_back(static_cast<char>(value & 0xff));
  }
  return count;
}

std::uint64_t ReadLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (auto byte = bytes.rbegin(); byte != bytes.rend(); ++byte) {
    value = value << kBitsPerByte | static_cast<std::uint8_t>(*byte);
  }
  return value;
}

// Encodes `state` compactly, since it is part of all datagrams of a sentinel:
// the digest, the number of bytes of the next, and the distances of `since` and
// `until` from `revision`, which usually equals `since`. An unknown state is
// empty.
std::string EncodeState(const StoreState& state, std::uint64_t revision) {
  if (!state.is_known() || state.since < revision) return {};
  std::string bytes;
  for (std::size_t i = 0; i < kDigestBytes; ++i) {
    bytes.push_back(static_cast<char>(state.digest >> (i * kBitsPerByte)));
  }
  std::string distances;
  bytes.push_back(
      static_cast<char>(AppendShortest(state.since - revision, distances)));
  AppendShortest(state.until - revision, distances);
  return bytes + distances;
}

// Returns an unknown state if it is of a form that this release does not know.
StoreState DecodeState(std::string_view bytes, std::uint64_t revision) {
  constexpr std::size_t kFixedBytes = kDigestBytes + 1;
  constexpr std::size_t kMaxDistanceBytes = sizeof(revision);
  if (bytes.size() < kFixedBytes) return {};
  const auto since_bytes = static_cast<std::uint8_t>(bytes[kDigestBytes]);
  const std::string_view distances = bytes.substr(kFixedBytes);
  if (since_bytes > std::min(distances.size(), kMaxDistanceBytes) ||
      distances.size() - since_bytes > kMaxDistanceBytes) {
    return {};
  }
  const StoreState state{
      .since = revision + ReadLittleEndian(distances.substr(0, since_bytes)),
      .until = revision + ReadLittleEndian(distances.substr(since_bytes)),
      .digest = static_cast<std::uint32_t>(
          ReadLittleEndian(bytes.substr(0, kDigestBytes)))};
  return state.since <= state.until ? state : StoreState();
}

double FromDemandUnits(std::uint64_t units) {
  return static_cast<double>(std::min(units, kMaxDemandUnits)) /
         kDemandUnitsPerAttempt;
}

std::vector<WireQuotaMessage> EncodeQuotaMessages(
    const std::vector<QuotaMessage>& messages) {
  std::vector<WireQuotaMessage> wire;
  for (const QuotaMessage& message : messages) {
    if (wire.size() >= GossipMessage::kMaxQuotaMessages) break;
    if (message.team.size() > GossipMessage::kMaxTeamNameBytes) continue;
    wire.emplace_back(static_cast<std::uint32_t>(message.kind) |
                          (message.is_stand_in ? kQuotaStandIn : 0) |
                          (message.has_bucket ? kQuotaHasBucket : 0),
                      message.team, message.number, message.tokens,
                      message.ahead, message.given_back,
                      // Rounded up: after the wait there is a token.
                      message.wait > Duration::zero()
                          ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                                ToMillis(message.wait) + 1, kMaxQuotaWaitMs))
                          : 0,
                      message.keeper);
  }
  return wire;
}

// Leaves out messages of kinds that this release does not know.
std::vector<QuotaMessage> DecodeQuotaMessages(
    const std::vector<WireQuotaMessage>& wire) {
  if (wire.size() > GossipMessage::kMaxQuotaMessages) {
    throw msgpack::type_error();
  }
  std::vector<QuotaMessage> messages;
  for (const auto& [kind, team, number, tokens, ahead, given_back, wait_ms,
                    keeper] : wire) {
    if (team.size() > GossipMessage::kMaxTeamNameBytes ||
        keeper.size() > kMaxNameBytes) {
      throw msgpack::type_error();
    }
    if ((kind & kQuotaKindMask) >= kQuotaMessageKindCount) continue;
    messages.push_back(
        {.kind = static_cast<QuotaMessageKind>(kind & kQuotaKindMask),
         .team = team,
         .number = number,
         .tokens = std::min(tokens, kMaxQuotaTokens),
         .ahead = std::min(ahead, kMaxQuotaTokens),
         .given_back = std::min(given_back, kMaxQuotaTokens),
         .wait = std::chrono::milliseconds(std::min(wait_ms, kMaxQuotaWaitMs)),
         .keeper = keeper,
         .is_stand_in = (kind & kQuotaStandIn) != 0,
         .has_bucket = (kind & kQuotaHasBucket) != 0});
  }
  return messages;
}

GossipMessage ParseMessage(const WireMessage& wire) {
  const auto& [version, kind, number, about, digest, knows_fleet, revision,
               data_centres, members, confirmation_age, statements, demands,
               sums, unbroken_for, state, quota_messages] = wire;
  const bool exceeds_limits =
      members.empty() ||
      members.size() > Membership::kMaxUpdatesPerMessage + 1 ||
      demands.size() > GossipMessage::kMaxDemands ||
      sums.size() > GossipMessage::kMaxDemands ||
      about.size() > kMaxNameBytes ||
      std::any_of(data_centres.begin(), data_centres.end(),
                  [](const auto& name) { return name.size() > kMaxNameBytes; });
  if (version != kGossipVersion || kind >= kMemberMessageKindCount ||
      exceeds_limits) {
    throw msgpack::type_error();
  }
  GossipMessage message{
      .membership = {.kind = static_cast<MemberMessageKind>(kind),
                     .probe_number = number,
                     .target = about,
                     .digest = digest,
                     .knows_fleet_size = knows_fleet},
      .store_revision = revision,
      .store_confirmation_age = DecodeAge(confirmation_age),
      .store_unbroken_for = DecodeAge(unbroken_for),
      .store_state = DecodeState(state, revision),
      .statements = DecodeStatements(statements, GossipMessage::kMaxStatements),
      .quota_messages = DecodeQuotaMessages(quota_messages)};
  message.membership.sender = ParseMember(members.front(), data_centres).member;
  for (std::size_t i = 1; i < members.size(); ++i) {
    message.membership.updates.push_back(ParseMember(members[i], data_centres));
  }
  for (const auto& [upstream, incarnation, demand, interval_ms] : demands) {
    message.demands.push_back(
        {.upstream = upstream,
         .incarnation = incarnation,
         .per_second = FromDemandUnits(demand),
         .interval = std::chrono::milliseconds(std::clamp(
             interval_ms, kMinDemandIntervalMs, kMaxDemandIntervalMs))});
  }
  for (const auto& [upstream, incarnation, demand] : sums) {
    message.demand_sums.push_back({.upstream = upstream,
                                   .incarnation = incarnation,
                                   .per_second = FromDemandUnits(demand)});
  }
  return message;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  const MemberMessage& membership = message.membership;
  MemberPacker packer;
  packer.Add(membership.sender, 0);
  for (const MemberUpdate& update : membership.updates) {
    packer.Add(update.member,
               update.gone_for
                   ? static_cast<std::uint32_t>(update.gone_for->count()) + 1
                   : 0);
  }
  std::vector<WireDemand> demands;
  for (const DemandReport& demand : message.demands) {
    demands.emplace_back(demand.upstream, demand.incarnation,
                         ToDemandUnits(demand.per_second),
                         static_cast<std::uint32_t>(ToMillis(demand.interval)));
  }
  std::vector<WireDemandSum> sums;
  for (const DemandSum& sum : message.demand_sums) {
    sums.emplace_back(sum.upstream, sum.incarnation,
                      ToDemandUnits(sum.per_second));
  }
  const auto wire =
      WireMessage(kGossipVersion, static_cast<std::uint32_t>(membership.kind),
                  membership.probe_number, membership.target, membership.digest,
                  membership.knows_fleet_size, message.store_revision,
                  packer.data_centres(), packer.members(),
                  EncodeAge(message.store_confirmation_age),
                  EncodeStatements(message.statements), demands, sums,
                  EncodeAge(message.store_unbroken_for),
                  EncodeState(message.store_state, message.store_revision),
                  EncodeQuotaMessages(message.quota_messages));
  // Most datagrams carry nothing about quotas, and omit the last field.
  std::size_t left = std::tuple_size_v<WireMessage>;
  if (message.quota_messages.empty()) --left;
  msgpack::sbuffer bytes;
  msgpack::packer<msgpack::sbuffer> stream(bytes);
  stream.pack_array(static_cast<std::uint32_t>(left));
  const auto pack_next = [&](const auto& field) {
    if (left == 0) return;
    stream.pack(field);
    --left;
  };
  std::apply([&](const auto&... fields) { (pack_next(fields), ...); }, wire);
  return {bytes.data(), bytes.size()};
}

Result<GossipMessage> DecodeGossip(std::string_view bytes) {
  // More than the largest datagram can hold.
  constexpr std::size_t kMaxObjects = 64 << 10;
  if (internal::HasMoreObjects(bytes, kMaxObjects)) {
    return Error{ErrorType::kPeerProtocol,
                 "more objects than a message can have"};
  }
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return ParseMessage(handle.get().as<WireMessage>());
  } catch (const std::exception& error) {
    return Error{ErrorType::kPeerProtocol, error.what()};
  }
}

}  // namespace lacewingknot::edge
