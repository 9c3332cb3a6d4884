// The warm-up level of an upstream limits the sum of all daemons' attempts.
//
// Several daemons send to one upstream that restarts at any time. They read the
// VM list at different times, are paused, lose connections and receive warm-up
// reports late. The attempts in flight that were sent to an instance since its
// start must never exceed what it can handle, which follows from the number of
// its answers.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "lacewingknot/policy/upstream_table.h"
#include "testing/any_vm_list.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GenerateVms;
using testing::MakeVmList;

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
  ColdFleet() : list_(MakeVmList(1, {0, 1, 2, 3})) {
    const SettingsPtr settings = ParseSettings(kSettings).tree;
    for (int vm = 0; vm < kDaemons; ++vm) {
      tables_.push_back(std::make_unique<UpstreamTable>(UpstreamTable::Options{
          .fleet = {.self = "vm-" + std::to_string(vm), .lease = kLease}}));
      tables_.back()->ApplySettings(settings);
      tables_.back()->set_permit_until(clock_.now() + std::chrono::hours(10));
      sent_at_.emplace_back();
    }
    ApplyListAtAll();
    clock_.Advance(kLease + seconds(1));
    ApplyListAtAll();
  }

  void ApplyListAtAll() {
    for (int vm = 0; vm < kDaemons; ++vm) ApplyList(vm);
  }
  void ApplyList(int vm) {
    tables_[vm]->ApplyVmList(list_, clock_.now());
    tables_[vm]->fleet().OnConfirmed(list_->revision, clock_.now());
  }
  void PublishList(const std::vector<int>& vms) {
    list_ = MakeVmList(list_->revision + 1, vms);
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
  // Restarts the upstream: every connection breaks, and every daemon detects it
  // before it sends again, because it checks a connection before each use.
  void Restart() {
    ++instance_;
    answers_ = 0;
    for (int vm = 0; vm < kDaemons; ++vm) {
      while (!sent_at_[vm].empty()) EndOldest(vm);
      tables_[vm]->OnConnections(kUpstream, 0, true, clock_.now());
    }
  }
  // Sends the warm-up reports of daemon `from` to daemon `to`.
  void SendReports(int from, int to) {
    for (const auto& [name, report] : tables_[from]->WarmupReports()) {
      tables_[to]->OnPeerReport(name, report);
    }
  }
  // Attempts end at their deadline, at most one lease after they were sent: the
  // upstream stops working on them even if the sender is paused.
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
    for (const auto& attempts : sent_at_) {
      sum += static_cast<int>(attempts.size());
    }
    return sum;
  }
  // Returns how many attempts at once the instance can handle: one after its
  // start, doubled after every 4 answers, up to 8.
  int Capacity() const {
    int capacity = 1;
    for (int doubled = 4; doubled <= answers_ && capacity < 8; doubled += 4) {
      capacity *= 2;
    }
    return capacity;
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
  std::vector<std::deque<TimePoint>> sent_at_;  // Attempts in flight, by VM.
  int instance_ = 0;
  int answers_ = 0;
};

TEST(ColdFleetTest, ColdStart_EveryDaemonSends_OneAttemptInAll) {
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
      for (int to = 0; to < kDaemons; ++to) fleet.SendReports(vm, to);
    }
    fleet.Advance(milliseconds(10));
    fleet.ApplyListAtAll();
  }
  for (int vm = 0; vm < kDaemons; ++vm) {
    fleet.Send(vm);
    fleet.Send(vm);
  }
  EXPECT_EQ(fleet.InFlight(), 8) << "the upstream is warm";
  fleet.Restart();
  for (int vm = 0; vm < kDaemons; ++vm) {
    fleet.Send(vm);
    fleet.Send(vm);
  }
  EXPECT_EQ(fleet.InFlight(), 1);
}

RC_GTEST_PROP(ColdFleetProperty, AnyEvents_AttemptsOfAllDaemons_WithinCapacity,
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
        fleet.PublishList(GenerateVms(kDaemons));
        break;
      case 2:
        fleet.Advance(milliseconds(*rc::gen::inRange(1, 5'000)));
        break;
      case 3:
      case 4:
        fleet.ApplyList(vm);
        break;
      case 5:
      case 6:
        fleet.SendReports(vm, *rc::gen::inRange(0, kDaemons));
        break;
      case 7:
      case 8:
      case 9:
        fleet.Send(vm);
        break;
      default:
        fleet.Answer(vm);
    }
    RC_ASSERT(fleet.InFlight() <= fleet.Capacity());
  }
}

}  // namespace
}  // namespace lacewingknot
