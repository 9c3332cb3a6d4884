#include "lacewingknot/policy/fleet_view.h"

#include <xxhash.h>

#include <algorithm>

namespace lacewingknot {
namespace {

std::uint64_t Weight(std::string_view upstream, std::string_view vm) {
  const std::uint64_t seed = XXH3_64bits(upstream.data(), upstream.size());
  return XXH3_64bits_withSeed(vm.data(), vm.size(), seed);
}

bool Contains(const VmList& list, std::string_view vm) {
  return std::any_of(list.vms.begin(), list.vms.end(),
                     [&](const VmEntry& entry) { return entry.id == vm; });
}

}  // namespace

const VmEntry* RendezvousOwner(const VmList& list,
                               const UpstreamPlacement& placement) {
  const VmEntry* best = nullptr;
  bool best_is_local = false;
  std::uint64_t best_weight = 0;
  for (const VmEntry& vm : list.vms) {
    if (vm.is_leaving || !vm.upstream.empty()) continue;
    const bool is_local = vm.data_centre == placement.data_centre;
    const std::uint64_t weight = Weight(placement.upstream, vm.id);
    const bool is_better = best == nullptr || (is_local && !best_is_local) ||
                           (is_local == best_is_local && weight > best_weight);
    if (!is_better) continue;
    best = &vm;
    best_is_local = is_local;
    best_weight = weight;
  }
  return best;
}

std::size_t DaemonVmCount(const VmList& list) {
  return static_cast<std::size_t>(
      std::count_if(list.vms.begin(), list.vms.end(),
                    [](const VmEntry& vm) { return vm.upstream.empty(); }));
}

bool FleetView::OnVmList(VmListPtr list, TimePoint at) {
  if (list_ != nullptr && list->revision <= list_->revision) return false;
  const bool is_listed = Contains(*list, options_.self);
  if (is_listed && !is_listed_) listed_at_ = at;
  is_listed_ = is_listed;
  // Another daemon may have been the owner under a list not seen here.
  const bool has_skipped =
      list_ == nullptr || list->revision != list_->revision + 1;
  if (has_skipped) skipped_at_ = at;
  if (list_ != nullptr) superseded_lists_.push_back({list_, at});
  while (!superseded_lists_.empty() &&
         superseded_lists_.front().superseded_at + options_.lease < at) {
    superseded_lists_.pop_front();
  }
  list_ = std::move(list);
  size_ = DaemonVmCount(*list_);
  owners_.clear();
  confirmed_at_ = TimePoint{};
  return true;
}

void FleetView::OnConfirmed(std::uint64_t revision, TimePoint at) {
  if (list_ == nullptr || revision != list_->revision) return;
  confirmed_at_ = std::max(confirmed_at_, at);
}

void FleetView::OnPeerRevision(std::uint64_t revision) {
  highest_peer_revision_ = std::max(highest_peer_revision_, revision);
}

bool FleetView::IsLeaseValid(TimePoint now) const {
  return list_ != nullptr && highest_peer_revision_ <= list_->revision &&
         now - confirmed_at_ <= options_.lease;
}

const VmEntry* FleetView::Owner(const UpstreamPlacement& placement) const {
  if (list_ == nullptr) return nullptr;
  const auto [owner, added] =
      owners_.try_emplace(std::string(placement.upstream), nullptr);
  if (added) owner->second = RendezvousOwner(*list_, placement);
  return owner->second;
}

bool FleetView::IsOwner(const UpstreamPlacement& placement,
                        TimePoint now) const {
  const VmEntry* owner = Owner(placement);
  if (owner == nullptr || owner->id != options_.self) return false;
  if (!IsFleetSizeKnown(now)) return false;
  return std::all_of(
      superseded_lists_.begin(), superseded_lists_.end(),
      [&](const SupersededList& superseded) {
        if (now - superseded.superseded_at > options_.lease) return true;
        const VmEntry* earlier = RendezvousOwner(*superseded.list, placement);
        return earlier != nullptr && earlier->id == options_.self;
      });
}

bool FleetView::IsFleetSizeKnown(TimePoint now) const {
  return IsLeaseValid(now) && now - skipped_at_ > options_.lease;
}

std::size_t FleetView::FleetSize(TimePoint now) const {
  std::size_t size = size_;
  for (const SupersededList& superseded : superseded_lists_) {
    if (now - superseded.superseded_at > options_.lease) continue;
    size = std::max(size, DaemonVmCount(*superseded.list));
  }
  return std::max<std::size_t>(size, 1);
}

bool FleetView::HasShare(TimePoint now) const {
  return is_listed_ && now - listed_at_ > options_.lease;
}

}  // namespace lacewingknot
