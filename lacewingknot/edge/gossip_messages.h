// Encodes and decodes gossip datagrams between daemons: membership messages
// with the revision of the configuration store that the sender has seen, and
// how long ago the store confirmed it.
//
// A datagram is a msgpack array. Each data centre is named once and referred to
// by index, and processor shares are in hundredths of a processor. A member
// therefore takes some 25 bytes and a list of 500 members some 13 datagrams.
//
// Thread-safe: free functions without shared state.
//
// Example:
//   std::string bytes = EncodeGossip({.membership = m, .store_revision = 412});
//   Result<GossipMessage> message = DecodeGossip(bytes);

#ifndef LACEWINGKNOT_EDGE_GOSSIP_MESSAGES_H_
#define LACEWINGKNOT_EDGE_GOSSIP_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/policy/demand_shares.h"
#include "lacewingknot/policy/membership.h"
#include "lacewingknot/policy/statement_table.h"
#include "lacewingknot/policy/store_state.h"
#include "lacewingknot/policy/team_quota.h"

namespace lacewingknot::edge {

struct GossipMessage {
  MemberMessage membership;
  std::uint64_t store_revision = 0;
  // Time since the store confirmed that nothing later than store_revision
  // exists, in whole milliseconds; empty if it never did.
  std::optional<Duration> store_confirmation_age;
  // Time since the sender last lost the store, or since it first reached it, in
  // whole milliseconds; empty if that is longer ago than an hour or unknown.
  std::optional<Duration> store_unbroken_for;
  // The contents of the store as the sender knows them; unknown if the sender
  // has no need to tell them.
  StoreState store_state;
  // What upstreams say, for daemons that may not know; at most kMaxStatements.
  std::vector<StatementReport> statements;
  // The sender's demand for upstreams whose keeper the receiver is; at most
  // kMaxDemands, like the sums that answer them.
  std::vector<DemandReport> demands;
  std::vector<DemandSum> demand_sums;

  // Asks of daemons for tokens of teams, and what keepers answer
  // (policy/team_quota.h); at most kMaxQuotaMessages. Those of teams with names
  // of more than kMaxTeamNameBytes are left out.
  std::vector<QuotaMessage> quota_messages;

  static constexpr std::size_t kMaxDemands = 40;
  static constexpr std::size_t kMaxQuotaMessages = 16;
  static constexpr std::size_t kMaxTeamNameBytes = 64;
  // So many fit in a datagram beside a full set of membership updates.
  static constexpr std::size_t kMaxStatements = 24;
};

std::string EncodeGossip(const GossipMessage& message);
// Returns kPeerProtocol if `bytes` are not a valid message.
Result<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_GOSSIP_MESSAGES_H_
