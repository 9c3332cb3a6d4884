// The limit of a cold upstream holds for the sum of all daemons.
//
// Several daemons' tables face one upstream that restarts at any moment. They
// read the VM list at their own times, sleep, wake, lose connections and hear
// claims late. At every moment the attempts in flight that were sent to an
// instance since its start must not exceed what it bears, which is known from
// the answers it has given.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "lacewingknot/policy/upstream_table.h"
#include "testing/any_vm_list.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::AnyVms;
using testing::MakeList;

constexpr int kDaemons = 4;
constexpr Duration kLease = seconds(3);

constexpr std::string_view kSettings = R"(revision = 1
[data_centre.a]
[service.s]
connections = 8
cold_concurrency = 1
warmup_completions = 4
[upstream.u]
service = "s"
address = "127.0.0.1:1"
data_centre = "a"
)";

// One upstream and the daemons that send to it, in virtual time.
class ColdFleet {
 public:
  ColdFleet() : list_(MakeList(1, {0, 1, 2, 3})) {
    const SettingsPtr settings = ParseSettings(kSettings).tree;
    for (int vm = 0; vm < kDaemons; ++vm) {
      tables_.push_back(std::make_unique<UpstreamTable>(UpstreamTable::Options{
          .fleet = {.self = "vm-" + std::to_string(vm), .lease = kLease}}));
      tables_.back()->ApplySettings(settings);
      tables_.back()->set_permit(clock_.now() + std::chrono::hours(10));
      sent_at_.emplace_back();
    }
    ReadAll();
    clock_.Advance(kLease + seconds(1));
    ReadAll();
  }

  void ReadAll() {
    for (int vm = 0; vm < kDaemons; ++vm) Read(vm);
  }
  void Read(int vm) {
    tables_[vm]->ApplyVmList(list_, clock_.now());
    tables_[vm]->fleet().OnConfirmed(list_->revision, clock_.now());
  }
  void PublishList(const std::vector<int>& vms) {
    list_ = MakeList(list_->revision + 1, vms);
  }
  void Send(int vm) {
    if (!tables_[vm]->CheckSend(kUpstream, clock_.now())) return;
    tables_[vm]->OnSent(kUpstream);
    sent_at_[vm].push_back(clock_.now());
  }
  void Answer(int vm) {
    if (sent_at_[vm].empty()) return;
    sent_at_[vm].pop_front();
    ++answers_;
    tables_[vm]->OnFinished(kUpstream);
    const std::string instance = "i" + std::to_string(instance_);
    tables_[vm]->OnAnswer(kUpstream, {.instance = instance}, clock_.now());
    tables_[vm]->OnConnections(kUpstream, 1, false, clock_.now());
  }
  // The upstream restarts: every connection breaks, and every daemon sees it
  // before it sends again, as the socket is looked at before each use.
  void Restart() {
    ++instance_;
    answers_ = 0;
    for (int vm = 0; vm < kDaemons; ++vm) {
      while (!sent_at_[vm].empty()) EndOldest(vm);
      tables_[vm]->OnConnections(kUpstream, 0, true, clock_.now());
    }
  }
  // `to` hears now what `from` knew `age` ago at the latest.
  void Claim(int from, int to) {
    for (const auto& [name, claim] : tables_[from]->Claims()) {
      tables_[to]->OnClaim(name, claim);
    }
  }
  // Attempts end at their deadline, which is no later than one lease after they
  // were sent: the upstream stops by itself, also if the sender is paused.
  void Advance(Duration by) {
    clock_.Advance(by);
    for (int vm = 0; vm < kDaemons; ++vm) {
      while (!sent_at_[vm].empty() &&
             clock_.now() - sent_at_[vm].front() >= kLease) {
        EndOldest(vm);
        tables_[vm]->OnFailure(kUpstream, ErrorType::kTimeout, {},
                               clock_.now());
      }
    }
  }

  int InFlight() const {
    int sum = 0;
    for (const auto& one : sent_at_) sum += static_cast<int>(one.size());
    return sum;
  }
  int Bears() const {
    int bears = 1;
    for (int doubled = 4; doubled <= answers_ && bears < 8; doubled += 4) {
      bears *= 2;
    }
    return bears;
  }

 private:
  void EndOldest(int vm) {
    sent_at_[vm].pop_front();
    tables_[vm]->OnFinished(kUpstream);
  }

  static constexpr UpstreamHandle kUpstream = 0;
  ManualClock clock_;
  VmListPtr list_;
  std::vector<std::unique_ptr<UpstreamTable>> tables_;
  std::vector<std::deque<TimePoint>> sent_at_;  // Attempts in flight.
  int instance_ = 0;
  int answers_ = 0;
};

TEST(ColdFleetTest, Start_EveryDaemonTriesToSend_OneAttemptInAll) {
  ColdFleet fleet;
  for (int round = 0; round < 3; ++round) {
    for (int vm = 0; vm < kDaemons; ++vm) fleet.Send(vm);
  }
  EXPECT_EQ(fleet.InFlight(), 1);
}

TEST(ColdFleetTest, Restart_AfterFullLoad_OneAttemptInAll) {
  ColdFleet fleet;
  for (int round = 0; round < 400; ++round) {
    for (int vm = 0; vm < kDaemons; ++vm) {
      fleet.Send(vm);
      fleet.Answer(vm);
      for (int to = 0; to < kDaemons; ++to) fleet.Claim(vm, to);
    }
    fleet.Advance(milliseconds(10));
    fleet.ReadAll();
  }
  for (int vm = 0; vm < kDaemons; ++vm) {
    fleet.Send(vm);
    fleet.Send(vm);
  }
  EXPECT_EQ(fleet.InFlight(), 8) << "full load is reached";
  fleet.Restart();
  for (int vm = 0; vm < kDaemons; ++vm) {
    fleet.Send(vm);
    fleet.Send(vm);
  }
  EXPECT_EQ(fleet.InFlight(), 1);
}

RC_GTEST_PROP(ColdFleetProperty, AnyEvents_SumOfAllDaemons_WithinWhatItBears,
              ()) {
  ColdFleet fleet;
  const auto steps = *rc::gen::inRange(20, 400);
  for (int step = 0; step < steps; ++step) {
    const int vm = *rc::gen::inRange(0, kDaemons);
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
        fleet.Restart();
        break;
      case 1:
        fleet.PublishList(AnyVms(kDaemons));
        break;
      case 2:
        fleet.Advance(milliseconds(*rc::gen::inRange(1, 5'000)));
        break;
      case 3:
      case 4:
        fleet.Read(vm);
        break;
      case 5:
      case 6:
        fleet.Claim(vm, *rc::gen::inRange(0, kDaemons));
        break;
      case 7:
      case 8:
      case 9:
        fleet.Send(vm);
        break;
      default:
        fleet.Answer(vm);
    }
    RC_ASSERT(fleet.InFlight() <= fleet.Bears());
  }
}

}  // namespace
}  // namespace lacewingknot
