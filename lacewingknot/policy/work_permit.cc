#include "lacewingknot/policy/work_permit.h"

#include <algorithm>
#include <vector>

namespace lacewingknot {

void WorkPermit::OnConfirmed(TimePoint at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

void WorkPermit::OnExchange(std::string_view peer, bool answered,
                            TimePoint at) {
  exchanges_.push_back({std::string(peer), answered, at});
  while (exchanges_.front().at + lease_ < at) exchanges_.pop_front();
}

std::map<std::string_view, const WorkPermit::Exchange*>
WorkPermit::LastExchanges(TimePoint now) const {
  std::map<std::string_view, const Exchange*> last;
  for (const Exchange& exchange : exchanges_) {
    if (now - exchange.at <= lease_) last[exchange.peer] = &exchange;
  }
  return last;
}

WorkPermit::PeerCount WorkPermit::CountPeers(TimePoint now) const {
  PeerCount count;
  for (const auto& [peer, exchange] : LastExchanges(now)) {
    ++count.tried;
    if (exchange->answered) ++count.answering;
  }
  return count;
}

std::optional<TimePoint> WorkPermit::PeerQuorumAt(TimePoint now) const {
  const auto last_exchanges = LastExchanges(now);
  std::vector<TimePoint> answered_at;
  for (const auto& [peer, exchange] : last_exchanges) {
    if (exchange->answered) answered_at.push_back(exchange->at);
  }
  const std::size_t quorum = (last_exchanges.size() + 1) / 2;
  if (quorum == 0 || answered_at.size() < quorum) return std::nullopt;
  std::sort(answered_at.rbegin(), answered_at.rend());
  return answered_at[quorum - 1];
}

TimePoint WorkPermit::Renew(std::size_t peer_count, TimePoint now) {
  if (!has_view_ || behind_) return valid_until_;
  if (confirmed_at_ != TimePoint{}) {
    valid_until_ = std::max(valid_until_, confirmed_at_ + lease_);
  }
  const std::optional<TimePoint> quorum_at =
      peer_count == 0 ? now : PeerQuorumAt(now);
  if (quorum_at) valid_until_ = std::max(valid_until_, *quorum_at + lease_);
  return valid_until_;
}

}  // namespace lacewingknot
