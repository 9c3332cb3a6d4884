// A fleet in virtual time that enforces the quotas of teams
// (policy/team_quota.h). Daemons ask keepers over a network with delays and
// losses; each has its own view of the members, which follows the truth after
// some seconds.

#ifndef TESTING_VIRTUAL_QUOTA_FLEET_H_
#define TESTING_VIRTUAL_QUOTA_FLEET_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lacewingknot/policy/demand_shares.h"
#include "lacewingknot/policy/team_quota.h"

namespace lacewingknot::testing {

class VirtualQuotaFleet {
 public:
  static constexpr std::string_view kTeam = "search";

  // A fleet in three data centres with one team, kTeam.
  VirtualQuotaFleet(std::size_t size, TeamQuota quota, std::uint64_t seed)
      : VirtualQuotaFleet(size, {{std::string(kTeam), quota}}, 3, seed) {}
  VirtualQuotaFleet(std::size_t size, const QuotaTable& quotas,
                    std::size_t data_centres, std::uint64_t seed)
      : random_(seed) {
    for (const auto& [name, quota] : quotas) {
      teams_.push_back({.name = name, .quota = quota});
    }
    for (std::size_t i = 0; i < size; ++i) {
      const std::string data_centre = std::to_string(i % data_centres);
      members_.push_back(
          {.address = "10." + data_centre + ".0." + std::to_string(i) + ":7380",
           .data_centre = "dc-" + data_centre});
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
    Run(std::chrono::seconds(20), 0);
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
          earliest + std::chrono::milliseconds(
                         random_() % static_cast<std::uint64_t>(
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
    TeamOf(kTeam).quota = quota;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      At(std::chrono::milliseconds(
             random_() % static_cast<std::uint64_t>(ToMillis(latest) + 1)),
         [this, i] { SetQuota(i); });
    }
  }
  std::size_t Keeper(std::string_view team = kTeam) const {
    return by_address_.at(KeeperOf(team, AliveMembers()));
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
  void set_entries(std::vector<std::size_t> entries,
                   std::string_view team = kTeam) {
    TeamOf(team).entries = std::move(entries);
  }
  // Only requests that fit the quota are made, as if a bucket with the quota's
  // rate and burst let them pass.
  void set_conforms(bool conforms, std::string_view team = kTeam) {
    TeamOf(team).conforms = conforms;
  }
  // Requests of a team that enter during each Run().
  void set_demand(double requests_per_second, std::string_view team) {
    TeamOf(team).requests_per_second = requests_per_second;
  }
  // The longest times that a request waits for a keeper's answer, and for a
  // token if the bucket is empty.
  void set_patience(Duration answer, Duration token) {
    patience_ = answer;
    token_patience_ = token;
  }

  // `requests_per_second` is for the first team.
  void Run(Duration time, double requests_per_second) {
    teams_.front().requests_per_second = requests_per_second;
    Run(time);
  }
  void Run(Duration time) {
    const TimePoint end = now_ + time;
    constexpr Duration kStep = std::chrono::milliseconds(1);
    for (; now_ < end; now_ += kStep) {
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto run = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        run();
      }
      for (std::size_t i = 0; i < teams_.size(); ++i) {
        if (teams_[i].requests_per_second <= 0) continue;
        std::poisson_distribution<int> arrivals(teams_[i].requests_per_second *
                                                ToSeconds(kStep));
        for (int left = arrivals(random_); left > 0; --left) Request(i);
      }
      if (now_ >= probe_at_) Probe();
      for (const std::size_t i : std::exchange(active_, {})) Advance(i);
    }
  }
  // Sends `count` requests of the first team at once.
  void Burst(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) Request(0);
  }

  // Most requests in any window beyond what the bounds allow for `quota`.
  double WorstExcess(const TeamQuota& quota, TimePoint since = {},
                     std::string_view team = kTeam) {
    double worst = -bounds_.Limit(quota);
    std::deque<TimePoint> window;
    for (const TimePoint at : TeamOf(team).allowed) {
      if (at < since) continue;
      window.push_back(at);
      while (at - window.front() >= bounds_.window) window.pop_front();
      worst = std::max(
          worst, static_cast<double>(window.size()) - bounds_.Limit(quota));
    }
    return worst;
  }
  std::size_t TakeRefused(std::string_view team = kTeam) {
    return std::exchange(TeamOf(team).refused, 0);
  }
  std::size_t TakeAllowed(std::string_view team = kTeam) {
    return std::exchange(TeamOf(team).allowed_count, 0);
  }
  // Contact probes per daemon since the last call.
  double TakeMeanProbes() {
    return static_cast<double>(std::exchange(probes_, 0)) /
           static_cast<double>(daemons_.size());
  }
  TimePoint now() const { return now_; }

 private:
  struct TeamLoad {
    std::string name;
    TeamQuota quota;
    double requests_per_second = 0;
    std::vector<std::size_t> entries;
    bool conforms = false;
    double conforming = 0;
    TimePoint conforming_at{};
    std::vector<TimePoint> allowed;
    std::size_t allowed_count = 0;
    std::size_t refused = 0;
  };
  struct Daemon {
    std::unique_ptr<TeamQuotaClient> client;
    std::unique_ptr<TeamQuotaKeeper> keeper;
    std::unique_ptr<FleetContact> contact;
  };

  static double ToSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  TeamLoad& TeamOf(std::string_view name) {
    return *std::find_if(
        teams_.begin(), teams_.end(),
        [&](const TeamLoad& team) { return team.name == name; });
  }

  void SetQuota(std::size_t index) {
    Daemon& daemon = daemons_[index];
    if (!daemon.client) return;
    QuotaTable quotas;
    for (const TeamLoad& team : teams_) quotas[team.name] = team.quota;
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
    return std::chrono::milliseconds(is_local ? 1 : 4 + random_() % 3);
  }

  void Send(std::size_t from, const OutgoingQuotaMessage& outgoing) {
    const auto found = by_address_.find(outgoing.to);
    ASSERT_NE(found, by_address_.end());
    const std::size_t to = found->second;
    if (from != to) {
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
    probe_at_ = now_ + std::chrono::milliseconds(100);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (!daemons_[i].client) continue;
      for (const std::string& name : daemons_[i].contact->TakeDueProbes(now_)) {
        ++probes_;
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

  void Request(std::size_t team_index) {
    TeamLoad& team = teams_[team_index];
    if (team.conforms) {
      team.conforming =
          std::min(team.quota.burst,
                   team.conforming + ToSeconds(now_ - team.conforming_at) *
                                         team.quota.rate_per_second);
      team.conforming_at = now_;
      if (team.conforming < 1) return;
      team.conforming -= 1;
    }
    std::size_t index = random_() % daemons_.size();
    if (!team.entries.empty()) {
      index = team.entries[random_() % team.entries.size()];
    }
    TeamQuotaClient* client = daemons_[index].client.get();
    if (client == nullptr) return;
    // The number of a request tells its team.
    const std::uint64_t request = ++last_request_ * teams_.size() + team_index;
    Count(client->Acquire(team.name, request, now_ + patience_, now_,
                          now_ + token_patience_));
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
    At(std::max<Duration>(*next - now_, std::chrono::milliseconds(1)),
       [this, index] { active_.push_back(index); });
  }

  void Count(const TeamQuotaClient::Outcome& outcome) {
    TeamLoad& team = teams_[outcome.request % teams_.size()];
    if (outcome.kind == TeamQuotaClient::Outcome::Kind::kAllowed) {
      team.allowed.push_back(now_);
      ++team.allowed_count;
    }
    if (outcome.kind == TeamQuotaClient::Outcome::Kind::kRefused) {
      ++team.refused;
    }
  }

  QuotaBounds bounds_;
  std::vector<TeamLoad> teams_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Member> members_;
  std::map<std::string, std::size_t> by_address_;
  std::vector<Daemon> daemons_;
  std::vector<int> group_;
  std::vector<bool> is_member_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::size_t> active_;
  TimePoint probe_at_{};
  std::size_t probes_ = 0;
  double loss_ = 0;
  Duration patience_ = std::chrono::milliseconds(80);
  Duration token_patience_ = std::chrono::milliseconds(80);
  std::uint64_t last_request_ = 0;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_VIRTUAL_QUOTA_FLEET_H_
