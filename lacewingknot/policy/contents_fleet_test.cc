// Tests of ContentsSource in fleets, in virtual time.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

#include "lacewingknot/policy/contents_source.h"
#include "lacewingknot/policy/watch_schedule.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fleet in virtual time: one store, daemons that follow one another by
// ContentsSource, gossip once a second, and faults.
class VirtualFleet {
 public:
  VirtualFleet(int daemons, std::uint32_t seed) : random_(seed) {
    daemons_.resize(static_cast<std::size_t>(daemons));
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      daemons_[i].member = {.address = "10.0.0." + std::to_string(i),
                            .data_centre = "dc-" + std::to_string(i % 3),
                            .processor_share = i % 2 == 0 ? 0.25 : 0.12};
      Start(i);
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      if (now_ >= members_due_) UpdateMembers();
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (daemons_[i].is_alive) Step(i);
      }
      CheckInForce();
      for (Daemon& daemon : daemons_) {
        if (daemon.revision < daemon.seen_revision) ++backward_;
        daemon.seen_revision = daemon.revision;
      }
    }
  }
  void Change() {
    ++revision_;
    changes_.push_back({.revision = revision_, .at = now_});
  }
  // The daemon starts without contents.
  void Start(std::size_t i) {
    Daemon& daemon = daemons_[i];
    const Member member = daemon.member;
    const int calls = daemon.calls;
    daemon = {};
    daemon.member = member;
    daemon.calls = calls;
    daemon.is_alive = true;
    daemon.usable_since = now_;
    daemon.next_gossip = now_ + milliseconds(random_() % 1'000);
    daemon.source.emplace(ContentsSource::Options{
        .max_unconfirmed = kMaxUnconfirmed,
        .behind_tolerance = milliseconds(1'100),
        .random_seed = static_cast<std::uint32_t>(random_())});
    daemon.peers = {.sources = RankSeeds(member.address, Seeds())};
    members_due_ = std::min(members_due_, now_ + seconds(1));
  }
  void Kill(std::size_t i) {
    daemons_[i].is_alive = false;
    members_due_ = std::min(members_due_, now_ + seconds(2));
  }
  // The store refuses this daemon's calls, or leaves them unanswered.
  void SetCut(std::size_t i, bool is_cut, bool is_silent = false) {
    daemons_[i].is_cut = is_cut;
    daemons_[i].is_silent = is_silent;
    for (Daemon& daemon : daemons_) daemon.usable_since = now_;
  }
  void SetAllCut(bool is_cut) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) SetCut(i, is_cut);
  }
  void BreakLink(std::size_t i) {
    Daemon& daemon = daemons_[i];
    if (daemon.link) daemon.source->OnLinkLost("lost");
    daemon.link.reset();
    daemon.decide_at = now_;
  }

  std::vector<std::size_t> Sentinels() const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].is_alive && daemons_[i].peers.is_sentinel) {
        found.push_back(i);
      }
    }
    return found;
  }
  int TakeCalls() {
    int calls = 0;
    for (Daemon& daemon : daemons_) calls += std::exchange(daemon.calls, 0);
    return calls;
  }
  bool AllHave() const {
    return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& one) {
      return !one.is_alive || one.revision == revision_;
    });
  }
  int late() const { return late_; }
  int backward() const { return backward_; }
  std::mt19937& random() { return random_; }
  std::size_t size() const { return daemons_.size(); }

  // Time from a change until it must be in force.
  static constexpr Duration kBound = milliseconds(5'000);

 private:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kMaxUnconfirmed = milliseconds(3'750);
  static constexpr Duration kCoalescing = milliseconds(500);
  static constexpr Duration kCallTimeout = milliseconds(800);

  struct Update {
    TimePoint arrives_at{};
    std::uint64_t revision = 0;
    TimePoint confirmed_at{};
    std::uint32_t hops = 0;
  };
  struct Link {
    std::size_t source = 0;
    bool is_open = false;
    TimePoint opens_at{};
    TimePoint sent_at{};
    std::uint64_t sent_revision = 0;
    TimePoint sent_confirmed_at{};
    std::uint32_t sent_hops = 0;
    std::deque<Update> in_flight;
  };
  struct Call {
    TimePoint started{};
    Duration wait{};
  };
  struct Daemon {
    Member member;
    bool is_alive = false;
    bool is_cut = false;
    bool is_silent = false;
    std::uint64_t revision = 0;  // 0: no contents.
    std::uint64_t seen_revision = 0;
    TimePoint confirmed_at{};
    std::uint32_t hops = 0;
    std::uint64_t peer_revision = 0;
    std::optional<ContentsSource> source;
    ContentsPeers peers;
    std::optional<Link> link;
    std::optional<Call> call;
    TimePoint pause_until{};
    TimePoint decide_at{};
    TimePoint next_gossip{};
    TimePoint usable_since{};
    int calls = 0;
  };
  struct ChangeTime {
    std::uint64_t revision = 0;
    TimePoint at{};
  };

  std::vector<std::string> Seeds() const {
    return {"10.0.0.0", "10.0.0.1", "10.0.0.2", "10.0.0.3"};
  }
  std::size_t IndexOf(const std::string& address) const {
    return std::stoul(address.substr(7));
  }

  void UpdateMembers() {
    members_due_ = TimePoint::max();
    std::vector<Member> alive;
    for (const Daemon& daemon : daemons_) {
      if (daemon.is_alive) alive.push_back(daemon.member);
    }
    const auto sentinels = SelectSentinels(alive);
    for (Daemon& daemon : daemons_) {
      if (!daemon.is_alive) continue;
      const bool is_sentinel =
          std::find(sentinels.begin(), sentinels.end(),
                    daemon.member.address) != sentinels.end();
      daemon.peers = {
          .is_settled = true,
          .is_sentinel = is_sentinel,
          .sources = RankSentinels(daemon.member, alive, sentinels)};
      daemon.decide_at = now_;
    }
  }

  void Step(std::size_t i) {
    Daemon& daemon = daemons_[i];
    if (now_ >= daemon.next_gossip) Gossip(i);
    StepLink(daemon);
    if (daemon.call) {
      StepCall(daemon);
      if (daemon.call) return;
    }
    ReceiveUpdates(daemon);
    if (now_ < daemon.pause_until || now_ < daemon.decide_at) return;
    const auto decision = daemon.source->Decide(now_, StateOf(daemon));
    SetPeer(daemon, decision.peer);
    daemon.decide_at = decision.until;
    if (!decision.calls_store) return;
    ++daemon.calls;
    daemon.call = Call{.started = now_, .wait = WaitOf(daemon)};
  }

  ContentsSource::State StateOf(const Daemon& daemon) const {
    return {.has_contents = daemon.revision != 0,
            .is_behind = daemon.peer_revision > daemon.revision,
            .peers = daemon.peers};
  }

  Duration WaitOf(const Daemon& daemon) const {
    if (daemon.revision == 0) return Duration::zero();
    return daemon.peers.is_sentinel ? milliseconds(2'000) : milliseconds(1'000);
  }

  void StepCall(Daemon& daemon) {
    const Duration elapsed = now_ - daemon.call->started;
    if (daemon.is_cut) {
      const bool failed =
          !daemon.is_silent || elapsed >= daemon.call->wait + kCallTimeout;
      if (!failed) return;
      daemon.call.reset();
      daemon.source->OnStoreFailed(now_, StateOf(daemon));
    } else {
      const bool answers =
          elapsed >= milliseconds(20) &&
          (daemon.revision != revision_ || elapsed >= daemon.call->wait);
      if (!answers) return;
      const bool changed = daemon.revision != 0 && daemon.revision != revision_;
      daemon.call.reset();
      daemon.source->OnStoreAnswered();
      daemon.revision = revision_;
      daemon.confirmed_at = now_;
      daemon.hops = 0;
      if (changed) daemon.pause_until = now_ + kCoalescing;
    }
    daemon.decide_at = now_;
  }

  void SetPeer(Daemon& daemon, const std::string& peer) {
    const std::string current =
        daemon.link ? daemons_[daemon.link->source].member.address : "";
    if (peer == current) return;
    daemon.link.reset();
    if (peer.empty()) return;
    daemon.link =
        Link{.source = IndexOf(peer), .opens_at = now_ + milliseconds(10)};
  }

  void StepLink(Daemon& daemon) {
    if (!daemon.link) return;
    Link& link = *daemon.link;
    const Daemon& source = daemons_[link.source];
    if (!source.is_alive) {
      daemon.source->OnLinkLost("lost");
      daemon.link.reset();
      daemon.decide_at = now_;
      return;
    }
    if (!link.is_open) {
      if (now_ < link.opens_at) return;
      link.is_open = true;
      daemon.source->OnLinkOpened(now_);
    }
    const bool is_due = now_ - link.sent_at >= milliseconds(500) ||
                        link.sent_revision != source.revision ||
                        link.sent_confirmed_at != source.confirmed_at ||
                        link.sent_hops != source.hops;
    if (!is_due) return;
    link.sent_at = now_;
    link.sent_revision = source.revision;
    link.sent_confirmed_at = source.confirmed_at;
    link.sent_hops = source.hops;
    link.in_flight.push_back({.arrives_at = now_ + milliseconds(5),
                              .revision = source.revision,
                              .confirmed_at = source.confirmed_at,
                              .hops = source.hops});
  }

  void ReceiveUpdates(Daemon& daemon) {
    while (daemon.link && !daemon.link->in_flight.empty() &&
           daemon.link->in_flight.front().arrives_at <= now_) {
      const Update update = daemon.link->in_flight.front();
      daemon.link->in_flight.pop_front();
      const bool is_in_force =
          update.revision != 0 && update.revision >= daemon.revision;
      if (is_in_force) {
        daemon.revision = update.revision;
        daemon.confirmed_at =
            std::max(daemon.confirmed_at, update.confirmed_at);
        daemon.hops = update.hops + 1;
      }
      daemon.source->OnMessage({.has_contents = update.revision != 0,
                                .is_in_force = is_in_force,
                                .confirmed_at = update.confirmed_at,
                                .hops = update.hops},
                               now_);
      daemon.decide_at = now_;
    }
  }

  void Gossip(std::size_t i) {
    Daemon& daemon = daemons_[i];
    daemon.next_gossip = now_ + seconds(1);
    const std::size_t other = random_() % daemons_.size();
    if (other == i || !daemons_[other].is_alive) return;
    const auto tell = [](const Daemon& from, Daemon& to) {
      if (from.revision == 0) return;
      to.peer_revision = std::max(to.peer_revision, from.revision);
      to.source->OnPeerReport(from.member.address, from.confirmed_at);
    };
    tell(daemon, daemons_[other]);
    tell(daemons_[other], daemon);
  }

  // Counts daemons where a change is not in force in time, unless a fault
  // occurred within that time.
  void CheckInForce() {
    if (changes_.empty() || now_ - changes_.front().at < kBound) return;
    const ChangeTime change = changes_.front();
    changes_.pop_front();
    for (const Daemon& daemon : daemons_) {
      const bool is_checked =
          daemon.is_alive && change.at > daemon.usable_since;
      const bool has_path = std::any_of(
          daemons_.begin(), daemons_.end(),
          [](const Daemon& one) { return one.is_alive && !one.is_cut; });
      if (is_checked && has_path && daemon.revision < change.revision) ++late_;
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  std::mt19937 random_;
  std::vector<Daemon> daemons_;
  std::uint64_t revision_ = 1;
  std::deque<ChangeTime> changes_;
  TimePoint members_due_ = TimePoint::max();
  int late_ = 0;
  int backward_ = 0;
};

// Guards against daemons of a fleet that starts together and that wait for one
// another's contents, or read the store more than twice each: at once, and as
// long as no sentinel is known.
TEST(ContentsFleetTest, Start_AllTogether_AllHaveContentsAtOnce) {
  for (const int daemons : {9, 67, 500}) {
    VirtualFleet fleet(daemons, 1);
    fleet.Run(milliseconds(100));
    EXPECT_TRUE(fleet.AllHave()) << daemons;
    fleet.Run(milliseconds(800));
    EXPECT_LE(fleet.TakeCalls(), 2 * daemons) << daemons;
  }
}

TEST(ContentsFleetTest, Calm_Day_OnlySentinelsCallStore) {
  for (const int daemons : {9, 67, 500}) {
    VirtualFleet fleet(daemons, 2);
    fleet.Run(seconds(5));
    fleet.TakeCalls();
    for (int i = 0; i < 20; ++i) {
      fleet.Change();
      fleet.Run(seconds(3));
    }
    const auto sentinels = static_cast<int>(fleet.Sentinels().size());
    EXPECT_LE(fleet.TakeCalls(), sentinels * 60) << daemons;
    EXPECT_EQ(fleet.late(), 0) << daemons;
    EXPECT_EQ(fleet.backward(), 0);
  }
}

TEST(ContentsFleetTest, Sentinels_KilledInSeries_ChangesInForceInTime) {
  for (const int daemons : {9, 67, 131}) {
    VirtualFleet fleet(daemons, 3);
    fleet.Run(seconds(5));
    for (int i = 0; i < 4; ++i) {
      const auto sentinels = fleet.Sentinels();
      ASSERT_FALSE(sentinels.empty());
      fleet.Change();
      fleet.Kill(sentinels.front());
      fleet.Run(milliseconds(400));
      if (sentinels.size() > 1) fleet.Kill(sentinels[1]);
      fleet.Change();
      fleet.Run(seconds(6));
    }
    EXPECT_EQ(fleet.late(), 0) << daemons;
    EXPECT_EQ(fleet.backward(), 0);
  }
}

TEST(ContentsFleetTest, Links_LostAndDaemonsRestarted_ChangesInForceInTime) {
  for (const std::uint32_t seed : {4U, 5U, 6U}) {
    VirtualFleet fleet(131, seed);
    fleet.Run(seconds(5));
    fleet.TakeCalls();
    for (int i = 0; i < 100; ++i) {
      for (int k = 0; k < 5; ++k) {
        fleet.BreakLink(fleet.random()() % fleet.size());
      }
      if (i % 5 == 0) fleet.Start(fleet.random()() % fleet.size());
      if (i % 3 == 0) fleet.Change();
      fleet.Run(milliseconds(500));
    }
    fleet.Run(seconds(6));
    EXPECT_EQ(fleet.late(), 0) << seed;
    EXPECT_EQ(fleet.backward(), 0);
    EXPECT_LE(fleet.TakeCalls(), 131 * 8) << seed;
  }
}

// Guards against daemons that the store refuses and that miss changes which
// their peers know.
TEST(ContentsFleetTest, Store_RefusesSomeDaemons_ChangesInForceThroughPeers) {
  for (const int daemons : {9, 67, 500}) {
    VirtualFleet fleet(daemons, 7);
    fleet.Run(seconds(5));
    // All sentinels, and every second daemon.
    for (const std::size_t sentinel : fleet.Sentinels()) {
      fleet.SetCut(sentinel, true, sentinel % 2 == 0);
    }
    for (std::size_t i = 0; i < fleet.size(); i += 2) {
      fleet.SetCut(i, true, i % 4 == 0);
    }
    // Until the other ways are found.
    fleet.Run(seconds(12));
    for (int i = 0; i < 10; ++i) {
      fleet.Change();
      fleet.Run(seconds(3));
    }
    fleet.Run(seconds(6));
    EXPECT_EQ(fleet.late(), 0) << daemons;
    EXPECT_EQ(fleet.backward(), 0);
  }
}

TEST(ContentsFleetTest, Store_AwayAndBack_CallsBoundedAndAllLearnChange) {
  for (const int daemons : {9, 131, 500}) {
    VirtualFleet fleet(daemons, 8);
    fleet.Run(seconds(5));
    fleet.TakeCalls();
    fleet.SetAllCut(true);
    fleet.Run(seconds(15));
    // Sentinels ask at least once a second, the others ever more rarely.
    EXPECT_LE(fleet.TakeCalls(),
              daemons * 8 + static_cast<int>(fleet.Sentinels().size()) * 20)
        << daemons;
    fleet.SetAllCut(false);
    fleet.Change();
    fleet.Run(seconds(5));
    EXPECT_TRUE(fleet.AllHave()) << daemons;
    fleet.TakeCalls();
    fleet.Run(seconds(10));
    const auto sentinels = static_cast<int>(fleet.Sentinels().size());
    EXPECT_LE(fleet.TakeCalls(), sentinels * 10) << daemons;
    EXPECT_EQ(fleet.backward(), 0);
  }
}

}  // namespace
}  // namespace lacewingknot
