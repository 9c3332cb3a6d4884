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

WorkPermit::PeerCount WorkPermit::Peers(TimePoint now) const {
  PeerCount count;
  for (const auto& [peer, exchange] : LastExchanges(now)) {
    ++count.tried;
    if (exchange->answered) ++count.answering;
  }
  return count;
}

std::optional<TimePoint> WorkPermit::PeersAgreedAt(TimePoint now) const {
  const auto last = LastExchanges(now);
  std::vector<TimePoint> answered;
  for (const auto& [peer, exchange] : last) {
    if (exchange->answered) answered.push_back(exchange->at);
  }
  const std::size_t needed = (last.size() + 1) / 2;
  if (needed == 0 || answered.size() < needed) return std::nullopt;
  std::sort(answered.rbegin(), answered.rend());
  return answered[needed - 1];
}

TimePoint WorkPermit::Renew(std::size_t peer_count, TimePoint now) {
  if (!has_view_ || behind_) return valid_until_;
  if (confirmed_at_ != TimePoint{}) {
    valid_until_ = std::max(valid_until_, confirmed_at_ + lease_);
  }
  const std::optional<TimePoint> agreed_at =
      peer_count == 0 ? now : PeersAgreedAt(now);
  if (agreed_at) valid_until_ = std::max(valid_until_, *agreed_at + lease_);
  return valid_until_;
}

}  // namespace lacewingknot
