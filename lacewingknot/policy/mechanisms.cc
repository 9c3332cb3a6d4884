#include "lacewingknot/policy/mechanisms.h"

#include <algorithm>
#include <array>

namespace lacewingknot {
namespace {

constexpr std::array<MechanismInfo, 18> kMechanisms{{
    {Mechanism::kAdmission, "admission",
     "a part of the queries is refused at once while many fail by overload"},
    {Mechanism::kBackoff, "backoff",
     "upstreams get no attempts for a while after consecutive failures"},
    {Mechanism::kBatchingDelay, "batching_delay",
     "relays hold a part for some milliseconds to send several together"},
    {Mechanism::kConcurrencyLimit, "concurrency_limit",
     "upstreams get no more requests at a time than they handle well, if set"},
    {Mechanism::kContentsByPeers, "contents_by_peers",
     "most daemons get the store's contents from others (if set up so)"},
    {Mechanism::kDeclining, "declining",
     "relays decline attempts that another data centre can answer sooner"},
    {Mechanism::kFailureShare, "failure_share",
     "upstreams that failed recently are chosen less often"},
    {Mechanism::kHedging, "hedging",
     "a slow attempt is followed by another one at a different replica"},
    {Mechanism::kPartialAnswers, "partial_answers",
     "queries are answered at their objective with the parts that are in"},
    {Mechanism::kPreconnecting, "preconnecting",
     "a connection is kept open to the first replica of every shard"},
    {Mechanism::kRelays, "relays",
     "daemons beside the replicas query shards for other daemons"},
    {Mechanism::kRemotePenalty, "remote_penalty",
     "replicas in other data centres must save some time to be chosen"},
    {Mechanism::kSchedulingMargin, "scheduling_margin",
     "answers are sent earlier while this daemon's own timers are late"},
    {Mechanism::kSlownessEstimate, "slowness_estimate",
     "upstreams that were slow recently are chosen less often"},
    {Mechanism::kStatementExchange, "statement_exchange",
     "daemons tell each other what upstreams say of themselves"},
    {Mechanism::kSuspicion, "suspicion",
     "upstreams with an overdue request in flight are chosen less often"},
    {Mechanism::kTeamFairness, "team_fairness",
     "teams share capacity that is short; those that ask for most lose first"},
    {Mechanism::kUrgentHedgesFirst, "urgent_hedges_first",
     "hedges of urgent queries may use more of the extra attempts"},
}};

}  // namespace

std::span<const MechanismInfo> AllMechanisms() { return kMechanisms; }

std::optional<Mechanism> FindMechanism(std::string_view name) {
  const auto* found = std::find_if(
      kMechanisms.begin(), kMechanisms.end(),
      [&](const MechanismInfo& info) { return info.name == name; });
  if (found == kMechanisms.end()) return std::nullopt;
  return found->mechanism;
}

std::string MechanismNames(const MechanismSet& set) {
  std::string names;
  for (const MechanismInfo& info : kMechanisms) {
    if (!set.Contains(info.mechanism)) continue;
    if (!names.empty()) names += ',';
    names += info.name;
  }
  return names;
}

}  // namespace lacewingknot
