#include "lacewingknot/policy/team_quota.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "lacewingknot/policy/demand_shares.h"

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kTeam = "search";

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// A fleet in virtual time that serves one team. Daemons ask keepers over a
// network with delays and losses; each has its own view of the members, which
// follows the truth after some seconds.
class VirtualFleet {
 public:
  VirtualFleet(std::size_t size, TeamQuota quota, std::uint64_t seed)
      : quota_(quota), random_(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      members_.push_back({.address = "10." + std::to_string(i % 3) + ".0." +
                                     std::to_string(i) + ":7380",
                          .data_centre = "dc-" + std::to_string(i % 3)});
      by_address_[members_.back().address] = i;
    }
    daemons_.resize(size);
    group_.assign(size, 0);
    is_member_.assign(size, true);
    for (std::size_t i = 0; i < size; ++i) {
      Start(i);
      ApplyView(i, AliveMembers());
    }
    // Long enough for full buckets.
    Run(seconds(20), 0);
  }

  // The network and the views.
  void set_loss(double loss) { loss_ = loss; }
  // Daemons in different groups do not reach each other.
  void SetGroup(std::size_t index, int group) { group_[index] = group; }
  void Kill(std::size_t index) {
    daemons_[index] = Daemon();
    is_member_[index] = false;
  }
  // The daemon returns, or is added, and first knows only the seeds.
  void Start(std::size_t index) {
    Daemon& daemon = daemons_[index];
    daemon = Daemon();
    is_member_[index] = true;
    const std::string& self = members_[index].address;
    daemon.client = std::make_unique<TeamQuotaClient>(TeamQuotaClient::Options{
        .self = self,
        .bounds = bounds_,
        .first_number = static_cast<std::uint64_t>(
            ToMillis(now_.time_since_epoch()) * 1'000)});
    daemon.keeper = std::make_unique<TeamQuotaKeeper>(
        TeamQuotaKeeper::Options{.self = self, .bounds = bounds_}, now_);
    daemon.contact =
        std::make_unique<FleetContact>(members_[index].data_centre);
    SetQuota(index);
    std::vector<Member> seeds(
        members_.begin(),
        members_.begin() + static_cast<std::ptrdiff_t>(
                               std::min<std::size_t>(3, members_.size())));
    daemon.client->SetMembers(seeds, false);
    daemon.keeper->SetMembers(seeds, false, now_);
  }
  // Every daemon learns of the present members at a time of its own.
  void SpreadView(Duration earliest, Duration latest) {
    const auto view = AliveMembers();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!daemons_[i].client) continue;
      const Duration after =
          earliest +
          milliseconds(random_() % static_cast<std::uint64_t>(
                                       ToMillis(latest - earliest) + 1));
      At(after, [this, i, view] {
        if (daemons_[i].client) ApplyView(i, view);
      });
    }
  }
  // `index` learns that the daemons of its own group are all that is left.
  void ApplyOwnGroupView(std::size_t index) {
    std::vector<Member> view;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (is_member_[i] && group_[i] == group_[index]) {
        view.push_back(members_[i]);
      }
    }
    ApplyView(index, view);
  }
  void ApplyView(std::size_t index, const std::vector<Member>& view) {
    Daemon& daemon = daemons_[index];
    daemon.client->SetMembers(view, true);
    daemon.keeper->SetMembers(view, true, now_);
    daemon.contact->SetMembers(view, now_);
  }
  void ChangeQuota(TeamQuota quota, Duration latest) {
    quota_ = quota;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      At(milliseconds(random_() %
                      static_cast<std::uint64_t>(ToMillis(latest) + 1)),
         [this, i] { SetQuota(i); });
    }
  }
  std::size_t Keeper() const {
    return by_address_.at(KeeperOf(kTeam, AliveMembers()));
  }
  std::vector<Member> AliveMembers() const {
    std::vector<Member> alive;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (is_member_[i]) alive.push_back(members_[i]);
    }
    return alive;
  }
  std::size_t size() const { return members_.size(); }

  // The daemons at which requests enter; all by default.
  void set_entries(std::vector<std::size_t> entries) {
    entries_ = std::move(entries);
  }
  // Only requests that fit the quota are made, as if a bucket with the quota's
  // rate and burst let them pass.
  void set_conforms(bool conforms) { conforms_ = conforms; }

  void Run(Duration time, double requests_per_second) {
    const TimePoint end = now_ + time;
    constexpr Duration kStep = milliseconds(1);
    for (; now_ < end; now_ += kStep) {
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto run = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        run();
      }
      std::poisson_distribution<int> arrivals(requests_per_second *
                                              ToSeconds(kStep));
      for (int left = arrivals(random_); left > 0; --left) Request();
      if (now_ >= probe_at_) Probe();
      for (const std::size_t i : std::exchange(active_, {})) Advance(i);
    }
  }
  // Sends `count` requests at once.
  void Burst(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) Request();
  }

  // Most requests in any window beyond what the bounds allow for `quota`.
  double WorstExcess(const TeamQuota& quota, TimePoint since = {}) const {
    double worst = -bounds_.Limit(quota);
    std::deque<TimePoint> window;
    for (const TimePoint at : allowed_) {
      if (at < since) continue;
      window.push_back(at);
      while (at - window.front() >= bounds_.window) window.pop_front();
      worst = std::max(
          worst, static_cast<double>(window.size()) - bounds_.Limit(quota));
    }
    return worst;
  }
  std::size_t TakeRefused() { return std::exchange(refused_, 0); }
  std::size_t TakeAllowed() { return std::exchange(allowed_count_, 0); }
  // Messages that the busiest daemon sent in the last Run() per second.
  std::size_t TakeMostSent() {
    std::size_t most = 0;
    for (auto& [index, count] : sent_) most = std::max(most, count);
    sent_.clear();
    return most;
  }
  TimePoint now() const { return now_; }
  std::size_t SumOfBuckets() const {
    std::size_t sum = 0;
    for (const Daemon& daemon : daemons_) {
      if (daemon.keeper) sum += daemon.keeper->bucket_count();
    }
    return sum;
  }

 private:
  struct Daemon {
    std::unique_ptr<TeamQuotaClient> client;
    std::unique_ptr<TeamQuotaKeeper> keeper;
    std::unique_ptr<FleetContact> contact;
  };

  void SetQuota(std::size_t index) {
    Daemon& daemon = daemons_[index];
    if (!daemon.client) return;
    const QuotaTable quotas{{std::string(kTeam), quota_}};
    daemon.client->SetQuotas(quotas);
    daemon.keeper->SetQuotas(quotas, now_);
  }

  void At(Duration after, std::function<void()> run) {
    events_.emplace(now_ + after, std::move(run));
  }

  Duration Delay(std::size_t from, std::size_t to) {
    if (from == to) return Duration::zero();
    const bool is_local =
        members_[from].data_centre == members_[to].data_centre;
    return milliseconds(is_local ? 1 : 4 + random_() % 3);
  }

  void Send(std::size_t from, const OutgoingQuotaMessage& outgoing) {
    const auto found = by_address_.find(outgoing.to);
    ASSERT_NE(found, by_address_.end());
    const std::size_t to = found->second;
    if (from != to) {
      ++sent_[from];
      if (group_[from] != group_[to]) return;
      if (std::uniform_real_distribution<>(0, 1)(random_) < loss_) return;
    }
    At(Delay(from, to), [this, from, to, message = outgoing.message] {
      Deliver(from, to, message);
    });
  }

  void Deliver(std::size_t from, std::size_t to, const QuotaMessage& message) {
    Daemon& daemon = daemons_[to];
    if (!daemon.client) return;
    const std::string& sender = members_[from].address;
    daemon.contact->OnHeard(members_[from].data_centre, now_);
    daemon.client->OnMessage(sender, message, now_);
    daemon.keeper->SetMayGrant(daemon.contact->HasMajority(now_), now_);
    for (const auto& out : daemon.keeper->OnMessage(sender, message, now_)) {
      Send(to, out);
    }
    Advance(to);
  }

  void Probe() {
    probe_at_ = now_ + milliseconds(100);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!daemons_[i].client) continue;
      for (const std::string& name : daemons_[i].contact->TakeDueProbes(now_)) {
        std::size_t other = random_() % daemons_.size();
        while (members_[other].data_centre != name) {
          other = (other + 1) % daemons_.size();
        }
        if (!daemons_[other].client || group_[other] != group_[i]) continue;
        if (std::uniform_real_distribution<>(0, 1)(random_) < loss_) continue;
        daemons_[i].contact->OnHeard(name, now_);
      }
    }
  }

  void Request() {
    if (conforms_) {
      conforming_ = std::min(quota_.burst,
                             conforming_ + ToSeconds(now_ - conforming_at_) *
                                               quota_.rate_per_second);
      conforming_at_ = now_;
      if (conforming_ < 1) return;
      conforming_ -= 1;
    }
    std::size_t index = random_() % daemons_.size();
    if (!entries_.empty()) index = entries_[random_() % entries_.size()];
    TeamQuotaClient* client = daemons_[index].client.get();
    if (client == nullptr) return;
    Count(
        client->Acquire(kTeam, ++last_request_, now_ + milliseconds(80), now_));
    Advance(index);
  }

  // Sends the messages of a daemon and plans its next tick.
  void Advance(std::size_t index) {
    TeamQuotaClient* client = daemons_[index].client.get();
    if (client == nullptr) return;
    client->Tick(now_);
    for (const auto& outcome : client->TakeOutcomes()) Count(outcome);
    for (const auto& message : client->TakeMessages()) Send(index, message);
    const auto next = client->NextTick();
    if (!next) return;
    At(std::max<Duration>(*next - now_, milliseconds(1)),
       [this, index] { active_.push_back(index); });
  }

  void Count(const TeamQuotaClient::Outcome& outcome) {
    if (outcome.kind == TeamQuotaClient::Outcome::Kind::kAllowed) {
      allowed_.push_back(now_);
      ++allowed_count_;
    }
    if (outcome.kind == TeamQuotaClient::Outcome::Kind::kRefused) ++refused_;
  }

  QuotaBounds bounds_;
  TeamQuota quota_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Member> members_;
  std::map<std::string, std::size_t> by_address_;
  std::vector<Daemon> daemons_;
  std::vector<int> group_;
  std::vector<bool> is_member_;
  std::vector<std::size_t> entries_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::size_t> active_;
  TimePoint probe_at_{};
  double loss_ = 0;
  bool conforms_ = false;
  double conforming_ = 0;
  TimePoint conforming_at_{};
  std::uint64_t last_request_ = 0;
  std::vector<TimePoint> allowed_;
  std::size_t allowed_count_ = 0;
  std::size_t refused_ = 0;
  std::map<std::size_t, std::size_t> sent_;
};

// Number of daemons, and the quota.
class TeamQuotaFleetTest
    : public ::testing::TestWithParam<std::tuple<std::size_t, TeamQuota>> {
 protected:
  std::size_t size() const { return std::get<0>(GetParam()); }
  TeamQuota quota() const { return std::get<1>(GetParam()); }
  VirtualFleet MakeFleet(std::uint64_t seed = 11) const {
    return {size(), quota(), seed};
  }
  double overload() const { return 5 * quota().rate_per_second; }
  std::vector<std::size_t> DaemonsOf(std::size_t data_centre) const {
    std::vector<std::size_t> daemons;
    for (std::size_t i = data_centre; i < size(); i += 3) daemons.push_back(i);
    return daemons;
  }
};

INSTANTIATE_TEST_SUITE_P(
    Sizes, TeamQuotaFleetTest,
    ::testing::Combine(::testing::Values<std::size_t>(1, 9, 67, 500),
                       ::testing::Values(TeamQuota{9, 9}, TeamQuota{120, 60})));

// Guards against requests over the quota that run because they enter at many
// daemons, or because tokens were saved up while the team was idle.
TEST_P(TeamQuotaFleetTest, Overload_AnyEntry_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(8), overload());
  fleet.set_entries({0});
  fleet.Run(seconds(6), overload());
  fleet.Run(seconds(10), 0);
  fleet.set_entries({});
  fleet.Burst(static_cast<std::size_t>(4 * overload()));
  fleet.Run(seconds(6), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

// Guards against an overloaded team that gets less than its quota.
TEST_P(TeamQuotaFleetTest, Overload_OfLongDuration_QuotaIsUsed) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(5), overload());
  fleet.TakeAllowed();
  fleet.Run(seconds(20), overload());
  EXPECT_GE(static_cast<double>(fleet.TakeAllowed()),
            0.9 * 20 * quota().rate_per_second);
}

TEST_P(TeamQuotaFleetTest, Datagrams_Lost_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.set_loss(0.2);
  fleet.Run(seconds(15), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

TEST_P(TeamQuotaFleetTest, Keepers_KilledInTurn_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(3), overload());
  for (int round = 0; round < 3 && size() > 1; ++round) {
    const std::size_t keeper = fleet.Keeper();
    fleet.Kill(keeper);
    fleet.SpreadView(seconds(2), seconds(5));
    fleet.Run(seconds(6), overload());
    fleet.Start(keeper);
    fleet.SpreadView(milliseconds(500), seconds(3));
    fleet.Run(seconds(4), overload());
  }
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

// The keeper is cut off; it and the others declare each other gone.
TEST_P(TeamQuotaFleetTest, Daemons_CutOff_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(2), overload());
  const std::size_t keeper = fleet.Keeper();
  const std::size_t data_centre = keeper % 3;
  fleet.SetGroup(keeper, 1);
  fleet.Run(seconds(4), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.ApplyOwnGroupView(i);
  fleet.Run(seconds(8), overload());
  // The rest of its data centre, too.
  for (std::size_t i = data_centre; i < size(); i += 3) fleet.SetGroup(i, 1);
  fleet.Run(seconds(4), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.ApplyOwnGroupView(i);
  fleet.Run(seconds(8), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.SetGroup(i, 0);
  fleet.SpreadView(milliseconds(200), seconds(4));
  fleet.Run(seconds(8), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

TEST_P(TeamQuotaFleetTest, Daemons_AllKilledAndBack_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(3), overload());
  for (std::size_t i = 0; i < size(); ++i) fleet.Kill(i);
  fleet.Run(milliseconds(300), 0);
  for (std::size_t i = 0; i < size(); ++i) fleet.Start(i);
  fleet.SpreadView(seconds(1), seconds(3));
  fleet.TakeAllowed();
  fleet.Run(seconds(8), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
  EXPECT_GE(static_cast<double>(fleet.TakeAllowed()),
            0.6 * 8 * quota().rate_per_second);
}

TEST_P(TeamQuotaFleetTest, Daemons_Added_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  if (size() < 9) return;
  std::vector<std::size_t> added;
  for (std::size_t i = 5; i < size(); i += 2) added.push_back(i);
  added.push_back(fleet.Keeper());
  for (const std::size_t i : added) fleet.Kill(i);
  fleet.SpreadView(seconds(0), seconds(1));
  fleet.Run(seconds(20), overload());
  for (const std::size_t i : added) {
    fleet.Start(i);
    fleet.SpreadView(milliseconds(300), seconds(3));
    fleet.Run(milliseconds(added.size() > 20 ? 40 : 1'000), overload());
  }
  fleet.Run(seconds(8), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

TEST_P(TeamQuotaFleetTest, Limit_Lowered_BindsAfterOneWindow) {
  VirtualFleet fleet = MakeFleet();
  fleet.Run(seconds(6), overload());
  const TeamQuota lower{quota().rate_per_second / 3, quota().burst / 3};
  fleet.ChangeQuota(lower, seconds(2));
  fleet.Run(seconds(2), overload());
  const TimePoint in_force = fleet.now();
  fleet.Run(seconds(12), overload());
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
  EXPECT_LE(fleet.WorstExcess(lower, in_force + seconds(5)), 0);
}

// A daemon is wrongly declared gone by half of the daemons.
TEST_P(TeamQuotaFleetTest, Views_OfMembersDiffer_StaysWithinBounds) {
  VirtualFleet fleet = MakeFleet();
  if (size() < 9) return;
  fleet.Run(seconds(2), overload());
  auto view = fleet.AliveMembers();
  const auto complete = view;
  view.erase(view.begin() + static_cast<std::ptrdiff_t>(fleet.Keeper()));
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < size(); i += 2) fleet.ApplyView(i, view);
    fleet.Run(seconds(5), overload());
    for (std::size_t i = 0; i < size(); i += 2) fleet.ApplyView(i, complete);
    fleet.Run(seconds(3), overload());
  }
  EXPECT_LE(fleet.WorstExcess(quota()), 0);
}

// Guards against refusals because a share is held by another daemon.
TEST_P(TeamQuotaFleetTest, Demand_WithinQuota_NothingIsRefused) {
  VirtualFleet fleet = MakeFleet();
  fleet.set_conforms(true);
  for (const double load : {0.3, 0.9, 2.0}) {
    fleet.set_entries({});
    fleet.Run(seconds(10), load * quota().rate_per_second);
    EXPECT_EQ(fleet.TakeRefused(), 0U) << "at all daemons, load " << load;
    fleet.set_entries({0});
    fleet.Run(seconds(10), load * quota().rate_per_second);
    EXPECT_EQ(fleet.TakeRefused(), 0U) << "at one daemon, load " << load;
    for (std::size_t data_centre = 0; data_centre < 3 && size() >= 3;
         ++data_centre) {
      fleet.set_entries(DaemonsOf(data_centre));
      fleet.Run(seconds(4), load * quota().rate_per_second);
      EXPECT_EQ(fleet.TakeRefused(), 0U)
          << "at data centre " << data_centre << ", load " << load;
    }
  }
}

TEST_P(TeamQuotaFleetTest, Demand_WithinQuotaInBursts_NothingIsRefused) {
  VirtualFleet fleet = MakeFleet();
  fleet.set_conforms(true);
  for (int round = 0; round < 6; ++round) {
    fleet.set_entries(round % 2 == 0 ? std::vector<std::size_t>{0}
                                     : std::vector<std::size_t>{});
    fleet.Burst(static_cast<std::size_t>(quota().burst));
    fleet.Run(seconds(3), quota().rate_per_second);
  }
  EXPECT_EQ(fleet.TakeRefused(), 0U);
}

// Members that join make other daemons keepers of idle teams.
TEST_P(TeamQuotaFleetTest, Demand_AfterMemberChange_NothingIsRefused) {
  VirtualFleet fleet = MakeFleet();
  if (size() < 9) return;
  const std::size_t keeper = fleet.Keeper();
  fleet.Kill(keeper);
  fleet.SpreadView(seconds(0), seconds(1));
  fleet.Run(seconds(30), 0);
  fleet.Start(keeper);
  fleet.SpreadView(milliseconds(300), seconds(3));
  fleet.Run(seconds(4), 0);
  fleet.set_conforms(true);
  fleet.Run(seconds(4), 0.9 * quota().rate_per_second);
  EXPECT_EQ(fleet.TakeRefused(), 0U);
}

TEST(TeamQuotaTest, Bounds_OfExample_AreThoseOfThePage) {
  const QuotaBounds bounds;
  EXPECT_DOUBLE_EQ(bounds.Limit({9, 9}), 54 * 1.25 + 20);
}

class TeamQuotaClientTest : public ::testing::Test {
 protected:
  TeamQuotaClientTest() {
    const QuotaTable quotas{{"a", {.rate_per_second = 2, .burst = 3}}};
    client_.SetQuotas(quotas);
    client_.SetMembers({{.address = "self"}}, true);
    keeper_.SetQuotas(quotas, now_);
    keeper_.SetMembers(std::vector<Member>{{.address = "self"}}, true, now_);
    now_ += seconds(60);
  }

  TeamQuotaClient::Outcome Acquire() {
    auto outcome =
        client_.Acquire("a", ++request_, now_ + milliseconds(1), now_);
    Exchange();
    for (const auto& later : client_.TakeOutcomes()) outcome = later;
    return outcome;
  }
  void Exchange() {
    for (const auto& ask : client_.TakeMessages()) {
      for (const auto& answer : keeper_.OnMessage("self", ask.message, now_)) {
        client_.OnMessage("self", answer.message, now_);
      }
    }
  }
  std::size_t AcquireAll() {
    std::size_t allowed = 0;
    while (Acquire().kind == TeamQuotaClient::Outcome::Kind::kAllowed) {
      ++allowed;
    }
    return allowed;
  }

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t request_ = 0;
  QuotaBounds bounds_{.slack = 0};
  TeamQuotaClient client_{{.self = "self", .bounds = bounds_}};
  TeamQuotaKeeper keeper_{{.self = "self", .bounds = bounds_}, now_};
};

// A client that returns at the stated time must be served.
TEST_F(TeamQuotaClientTest, Refusal_RetriedAtStatedTime_IsAllowed) {
  AcquireAll();
  now_ += milliseconds(100);
  const auto refused = Acquire();
  ASSERT_EQ(refused.kind, TeamQuotaClient::Outcome::Kind::kRefused);
  EXPECT_LT(refused.retry_after, milliseconds(1'000));
  now_ += refused.retry_after;
  EXPECT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
}

TEST_F(TeamQuotaClientTest, Token_GivenBack_IsUsedByNextRequest) {
  AcquireAll();
  now_ += milliseconds(600);
  ASSERT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
  client_.GiveBack("a", now_);
  EXPECT_EQ(client_.HeldTokens("a", now_), 1U);
  EXPECT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
  EXPECT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kRefused);
}

TEST_F(TeamQuotaClientTest, Token_GivenBackAndUnused_ReturnsToKeeper) {
  const std::size_t depth = AcquireAll();
  now_ += seconds(60);
  ASSERT_EQ(Acquire().kind, TeamQuotaClient::Outcome::Kind::kAllowed);
  client_.GiveBack("a", now_);
  now_ += milliseconds(1'100);
  client_.Tick(now_);
  Exchange();
  EXPECT_EQ(AcquireAll(), depth);
}

TEST_F(TeamQuotaClientTest, Keeper_Silent_RequestWaitsNoLongerThanAllowed) {
  const TimePoint latest = now_ + milliseconds(30);
  ASSERT_EQ(client_.Acquire("a", 1, latest, now_).kind,
            TeamQuotaClient::Outcome::Kind::kWaits);
  std::size_t asks = 0;
  while (client_.NextTick() && *client_.NextTick() <= latest) {
    asks += client_.TakeMessages().size();
    now_ = *client_.NextTick();
    client_.Tick(now_);
  }
  EXPECT_LE(now_, latest);
  EXPECT_EQ(client_.TakeOutcomes().size(), 1U);
  EXPECT_EQ(asks, 2U);  // At once, and after 20 ms.
}

// Guards against a bucket that is filled by a datagram that arrives twice.
TEST_F(TeamQuotaClientTest, Ask_Repeated_GetsSameAnswerOnce) {
  const QuotaMessage ask{.kind = QuotaMessageKind::kAsk,
                         .team = "a",
                         .number = 7,
                         .tokens = 2,
                         .given_back = 3};
  const auto first = keeper_.OnMessage("other", ask, now_);
  const auto second = keeper_.OnMessage("other", ask, now_);
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(first.front().message, second.front().message);
}

TEST_F(TeamQuotaClientTest, Team_WithoutQuota_IsAllowed) {
  EXPECT_EQ(client_.Acquire("b", 1, now_, now_).kind,
            TeamQuotaClient::Outcome::Kind::kAllowed);
}

TEST(FleetContactTest, Partition_OfOneInThree_OnlyLargerSideHasMajority) {
  TimePoint now{std::chrono::hours(1)};
  constexpr int kMembers = 12;
  std::vector<Member> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back({.address = std::to_string(i),
                       .data_centre = "dc-" + std::to_string(i % 3)});
  }
  FleetContact smaller("dc-0");
  FleetContact larger("dc-1");
  smaller.SetMembers(members, now);
  larger.SetMembers(members, now);
  EXPECT_TRUE(smaller.HasMajority(now));
  now += seconds(2);
  smaller.OnHeard("dc-0", now);
  larger.OnHeard("dc-1", now);
  larger.OnHeard("dc-2", now);
  EXPECT_FALSE(smaller.HasMajority(now));
  EXPECT_TRUE(larger.HasMajority(now));
  // The others are declared gone.
  std::erase_if(members, [](const Member& member) {
    return member.data_centre != "dc-0";
  });
  smaller.SetMembers(members, now);
  EXPECT_FALSE(smaller.HasMajority(now));
}

}  // namespace
}  // namespace lacewingknot
