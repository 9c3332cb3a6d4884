#include "lacewingknot/policy/fleet_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/any_vm_list.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GenerateVms;
using testing::MakeVmList;

constexpr Duration kLease = seconds(3);
constexpr int kDaemons = 5;

class FleetViewTest : public ::testing::Test {
 protected:
  FleetView MakeView(int vm) const {
    return FleetView({.self = "vm-" + std::to_string(vm), .lease = kLease});
  }
  static int OwnerOf(const VmListPtr& list) {
    return std::stoi(RendezvousOwner(*list, kPlacement)->id.substr(3));
  }

  static constexpr UpstreamPlacement kPlacement{"u1", "a"};
  ManualClock clock_;
};

TEST_F(FleetViewTest, Owner_JustStarted_OwnsOnlyAfterTheLease) {
  const VmListPtr list = MakeVmList(1, {1, 2, 3});
  FleetView view = MakeView(OwnerOf(list));
  view.OnVmList(list, clock_.now());
  view.OnConfirmed(1, clock_.now());
  EXPECT_FALSE(view.IsOwner(kPlacement, clock_.now()));
  clock_.Advance(kLease + milliseconds(1));
  view.OnConfirmed(1, clock_.now());
  EXPECT_TRUE(view.IsOwner(kPlacement, clock_.now()));
}

TEST_F(FleetViewTest, Owner_PausedBeyondTheLease_OwnsNothingOnResuming) {
  const VmListPtr list = MakeVmList(1, {1, 2, 3});
  FleetView view = MakeView(OwnerOf(list));
  view.OnVmList(list, clock_.now());
  clock_.Advance(seconds(10));
  view.OnConfirmed(1, clock_.now());
  ASSERT_TRUE(view.IsOwner(kPlacement, clock_.now()));
  clock_.Advance(kLease + milliseconds(1));
  EXPECT_FALSE(view.IsOwner(kPlacement, clock_.now()));
}

TEST_F(FleetViewTest, Owner_PeerHoldsNewerList_OwnsNothing) {
  const VmListPtr list = MakeVmList(1, {1, 2, 3});
  FleetView view = MakeView(OwnerOf(list));
  view.OnVmList(list, clock_.now());
  clock_.Advance(seconds(10));
  view.OnConfirmed(1, clock_.now());
  view.OnPeerRevision(2);
  EXPECT_FALSE(view.IsOwner(kPlacement, clock_.now()));
}

TEST_F(FleetViewTest, FleetSize_ListShrinks_StaysLargerForOneLease) {
  FleetView view = MakeView(1);
  view.OnVmList(MakeVmList(1, {1, 2, 3}), clock_.now());
  view.OnVmList(MakeVmList(2, {1, 2}), clock_.now());
  EXPECT_EQ(view.FleetSize(clock_.now()), 3U);
  clock_.Advance(kLease + milliseconds(1));
  EXPECT_EQ(view.FleetSize(clock_.now()), 2U);
}

TEST_F(FleetViewTest, Vm_RemovedFromTheList_HasNoShare) {
  FleetView view = MakeView(1);
  view.OnVmList(MakeVmList(1, {1, 2}), clock_.now());
  clock_.Advance(kLease + milliseconds(1));
  ASSERT_TRUE(view.HasShare(clock_.now()));
  view.OnVmList(MakeVmList(2, {2}), clock_.now());
  EXPECT_FALSE(view.HasShare(clock_.now()));
  view.OnVmList(MakeVmList(3, {1, 2}), clock_.now());
  EXPECT_FALSE(view.HasShare(clock_.now()))
      << "other daemons may not count this one until a lease later";
}

TEST_F(FleetViewTest, OnVmList_OlderRevision_IsIgnored) {
  FleetView view = MakeView(1);
  view.OnVmList(MakeVmList(2, {1, 2}), clock_.now());
  EXPECT_FALSE(view.OnVmList(MakeVmList(1, {1, 2, 3}), clock_.now()));
  EXPECT_EQ(view.list()->revision, 2U);
}

// Daemons read the list at different times, pause and resume. Two of them must
// never own the same upstream at the same time, as long as the platform does
// not confirm an old list after it has published a new one.
RC_GTEST_PROP(FleetViewProperty, Owners_AnyReadsAndPauses_NeverTwoAtOnce, ()) {
  const UpstreamPlacement placement{"u1", "a"};
  ManualClock clock;
  std::vector<FleetView> views;
  views.reserve(kDaemons);
  for (int vm = 0; vm < kDaemons; ++vm) {
    views.emplace_back(FleetView::Options{.self = "vm-" + std::to_string(vm),
                                          .lease = kLease});
  }
  VmListPtr published = MakeVmList(1, {0, 1, 2, 3, 4});
  const auto steps = *rc::gen::inRange(10, 120);
  for (int step = 0; step < steps; ++step) {
    clock.Advance(milliseconds(*rc::gen::inRange(1, 1'500)));
    if (*rc::gen::inRange(0, 8) == 0) {
      const auto vms = GenerateVms(kDaemons);
      published = MakeVmList(published->revision + 1, vms);
    }
    for (FleetView& view : views) {
      // A daemon that is paused or cut off does not read the list.
      if (*rc::gen::inRange(0, 3) == 0) continue;
      view.OnVmList(published, clock.now());
      view.OnConfirmed(published->revision, clock.now());
    }
    int owners = 0;
    for (const FleetView& view : views) {
      if (view.IsOwner(placement, clock.now())) ++owners;
    }
    RC_ASSERT(owners <= 1);
  }
}

}  // namespace
}  // namespace lacewingknot
