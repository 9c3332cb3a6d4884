#include "lacewingknot/policy/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingknot {

Membership::Membership(Options options) : self_(std::move(options.address)) {
  known_[self_].member = {.address = self_,
                          .incarnation = options.incarnation,
                          .data_centre = std::move(options.data_centre),
                          .processor_share = options.processor_share};
}

void Membership::Merge(std::span<const Member> members, TimePoint now) {
  for (const Member& member : members) {
    if (member.address == self_) continue;
    const auto [found, added] = known_.try_emplace(member.address);
    Heard& known = found->second;
    const bool newer =
        std::tie(member.incarnation, member.heartbeat) >
        std::tie(known.member.incarnation, known.member.heartbeat);
    if (!added && !newer) continue;
    known.member = member;
    known.heard_at = now;
  }
}

void Membership::OnPeerSize(std::size_t size, TimePoint now) {
  if (claimed_at_ + kForgetAfter > now && size <= claimed_size_) return;
  claimed_size_ = size;
  claimed_at_ = now;
}

std::vector<Member> Membership::Sample(std::size_t count,
                                       std::mt19937_64& random) {
  Member& self = known_[self_].member;
  ++self.heartbeat;
  std::vector<Member> others;
  for (const auto& [address, known] : known_) {
    if (address != self_) others.push_back(known.member);
  }
  std::vector<Member> sample{self};
  std::sample(others.begin(), others.end(), std::back_inserter(sample), count,
              random);
  return sample;
}

std::optional<std::string_view> Membership::PickPeer(
    std::mt19937_64& random) const {
  if (known_.size() < 2) return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, known_.size() - 2);
  std::size_t left = any(random);
  for (const auto& [address, known] : known_) {
    if (address == self_) continue;
    if (left-- == 0) return address;
  }
  return std::nullopt;
}

void Membership::Forget(TimePoint now) {
  std::erase_if(known_, [&](const auto& entry) {
    return entry.first != self_ && now - entry.second.heard_at > kForgetAfter;
  });
}

std::vector<Member> Membership::Alive(TimePoint now) {
  Forget(now);
  std::vector<Member> alive;
  alive.reserve(known_.size());
  for (const auto& [address, known] : known_) alive.push_back(known.member);
  return alive;
}

std::size_t Membership::Known(TimePoint now) {
  Forget(now);
  return known_.size();
}

std::size_t Membership::Size(TimePoint now) {
  const bool claim_holds = claimed_at_ + kForgetAfter > now;
  return std::max(Known(now), claim_holds ? claimed_size_ : 1);
}

}  // namespace lacewingknot
