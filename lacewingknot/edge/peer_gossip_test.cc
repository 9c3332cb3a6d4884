#include "lacewingknot/edge/peer_gossip.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "lacewingknot/policy/demand_shares.h"

namespace lacewingknot::edge {
namespace {

class PeerGossipTest : public ::testing::Test {
 protected:
  struct Daemon {
    std::unique_ptr<PeerGossip> gossip;
    std::size_t fleet_size = 0;
    std::uint64_t received_epoch = 0;
    std::uint64_t received_revision = 0;
    TimePoint confirmed_at{};
    std::vector<StatementReport> statements;  // Received.
    std::vector<StatementReport> latest;      // For daemons that start.
    std::vector<DemandSum> sums;              // Received.
    std::vector<Member> quota_members;
    std::vector<std::pair<std::string, QuotaMessage>> quota_answers;
  };

  // Tests run at the same time in processes of their own, so the address
  // depends on the process.
  static std::string Address(int number) {
    constexpr int kFirstPort = 27'380;
    constexpr int kHosts = 250;
    const int process = getpid();
    return "127.77." + std::to_string(process / kHosts % kHosts) + "." +
           std::to_string(1 + process % kHosts) + ":" +
           std::to_string(kFirstPort + number);
  }

  void StartDaemon(int number) {
    Daemon& daemon = daemons_[number];
    daemon.gossip = std::make_unique<PeerGossip>(
        io_, PeerGossip::Options{
                 .listen = Address(number),
                 .seeds = {Address(0)},
                 .incarnation = 1,
                 .random_seed = static_cast<std::uint64_t>(number),
                 .on_fleet_size =
                     [&daemon](std::size_t size) { daemon.fleet_size = size; },
                 .on_store_report =
                     [&daemon](const StoreReport& report) {
                       daemon.received_epoch =
                           std::max(daemon.received_epoch, report.epoch);
                       daemon.received_revision =
                           std::max(daemon.received_revision, report.revision);
                       daemon.confirmed_at =
                           std::max(daemon.confirmed_at, report.confirmed_at);
                     },
                 .on_statements =
                     [&daemon](std::vector<StatementReport> reports,
                               const std::string&) {
                       daemon.statements = std::move(reports);
                     },
                 .on_demand_sums =
                     [&daemon](std::vector<DemandSum> sums) {
                       daemon.sums = std::move(sums);
                     },
                 .quota_bounds = QuotaBounds(),
                 .on_quota_messages =
                     [&daemon](const std::string& from,
                               const std::vector<QuotaMessage>& messages) {
                       for (const QuotaMessage& message : messages) {
                         daemon.quota_answers.emplace_back(from, message);
                       }
                     },
                 .on_quota_members =
                     [&daemon](const std::vector<Member>& members, bool) {
                       daemon.quota_members = members;
                     },
                 .on_statements_wanted =
                     [&daemon](const std::string& address) {
                       daemon.gossip->SendStatements(address, daemon.latest);
                     }});
    ASSERT_TRUE(daemon.gossip->Start().has_value());
  }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = BootClock::now() + std::chrono::seconds(20);
    while (!done()) {
      ASSERT_LT(BootClock::now(), end);
      io_.run_one_for(std::chrono::milliseconds(20));
    }
  }

  boost::asio::io_context io_;
  std::map<int, Daemon> daemons_;
};

TEST_F(PeerGossipTest, Daemons_OneCommonSeed_DiscoverFleetAndRevision) {
  for (int i = 0; i < 4; ++i) StartDaemon(i);
  daemons_[2].gossip->SetStoreConfirmed(
      {.revision = 412, .confirmed_at = BootClock::now()});
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return entry.second.fleet_size == 4 &&
             (entry.first == 2 || entry.second.received_revision == 412);
    });
  });
}

TEST_F(PeerGossipTest, StoreConfirmed_BySentinels_IsReportedToOthers) {
  for (int i = 0; i < 4; ++i) StartDaemon(i);
  const auto is_sentinel = [](const auto& entry) {
    return entry.second.gossip->is_sentinel();
  };
  RunUntil([&] {
    return std::count_if(daemons_.begin(), daemons_.end(), is_sentinel) == 2;
  });
  const TimePoint before = BootClock::now();
  for (auto& entry : daemons_) {
    if (!is_sentinel(entry)) continue;
    entry.second.gossip->SetStoreConfirmed(
        {.epoch = 3, .revision = 412, .confirmed_at = BootClock::now()});
  }
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [&](auto& entry) {
      // An age is sent in whole milliseconds.
      return is_sentinel(entry) || (entry.second.received_epoch == 3 &&
                                    entry.second.confirmed_at >=
                                        before - std::chrono::milliseconds(1));
    });
  });
  for (const auto& entry : daemons_) {
    EXPECT_LE(entry.second.confirmed_at, BootClock::now());
  }
}

// Guards against a daemon that goes on in a former epoch, because only one that
// is no sentinel has noticed the store's return.
TEST_F(PeerGossipTest, EpochRise_AtDaemonThatIsNoSentinel_IsReportedToOthers) {
  for (int i = 0; i < 4; ++i) StartDaemon(i);
  const auto is_sentinel = [](const auto& entry) {
    return entry.second.gossip->is_sentinel();
  };
  RunUntil([&] {
    return std::count_if(daemons_.begin(), daemons_.end(), is_sentinel) == 2;
  });
  const auto teller =
      std::find_if_not(daemons_.begin(), daemons_.end(), is_sentinel);
  teller->second.gossip->SetStoreConfirmed(
      {.epoch = 3, .revision = 412, .confirmed_at = BootClock::now()});
  RunUntil([&] {
    return std::any_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return entry.second.received_epoch == 3;
    });
  });
}

// An upstream that leaves tells the first daemon that sends to it.
TEST_F(PeerGossipTest, Statement_OneDaemonLearnsIt_OthersAreToldSoon) {
  for (int i = 0; i < 4; ++i) StartDaemon(i);
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return entry.second.fleet_size == 4;
    });
  });
  const StatementReport report{.upstream = "u",
                               .incarnation = 5,
                               .is_leaving = true,
                               .wait = std::chrono::seconds(3)};
  const TimePoint start = BootClock::now();
  daemons_[1].gossip->SpreadStatements({&report, 1});
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return entry.first == 1 || !entry.second.statements.empty();
    });
  });
  EXPECT_LT(BootClock::now() - start, std::chrono::milliseconds(500));
  const StatementReport& received = daemons_[2].statements.front();
  EXPECT_EQ(received.upstream, "u");
  EXPECT_TRUE(received.is_leaving);
  EXPECT_LT(received.wait, std::chrono::seconds(3));
  EXPECT_GE(received.age, std::chrono::milliseconds(20));
}

TEST_F(PeerGossipTest, Daemon_JustStarted_IsToldStatements) {
  StartDaemon(0);
  daemons_[0].latest = {
      {.upstream = "u", .incarnation = 5, .is_leaving = true}};
  StartDaemon(1);
  RunUntil([&] { return !daemons_[1].statements.empty(); });
  EXPECT_EQ(daemons_[1].statements.front(), daemons_[0].latest.front());
}

// Whichever daemon is the keeper, all get the same sum, the keeper too.
TEST_F(PeerGossipTest, Demands_OfSeveralDaemons_AreAnsweredByTheirSum) {
  for (int i = 0; i < 3; ++i) StartDaemon(i);
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return entry.second.fleet_size == 3;
    });
  });
  TimePoint next_report{};
  RunUntil([&] {
    if (BootClock::now() >= next_report) {
      next_report = BootClock::now() + std::chrono::seconds(1);
      for (auto& [number, daemon] : daemons_) {
        const DemandReport report{.upstream = "u",
                                  .per_second = 10.0 * (1 + number),
                                  .interval = std::chrono::seconds(1)};
        daemon.gossip->SendDemands({&report, 1});
      }
    }
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return !entry.second.sums.empty();
    });
  });
  for (const auto& [number, daemon] : daemons_) {
    EXPECT_EQ(daemon.sums.front().per_second, 60);
  }
}

// Guards against asks or grants that are lost between a socket and the policy.
TEST_F(PeerGossipTest, QuotaAsk_OverLoopback_IsGrantedByKeeperAlone) {
  constexpr std::string_view kTeam = "search";
  for (int i = 0; i < 2; ++i) StartDaemon(i);
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& entry) {
      return entry.second.quota_members.size() == 2;
    });
  });
  for (auto& [number, daemon] : daemons_) {
    daemon.gossip->SetQuotas({{std::string(kTeam), {50, 20}}});
  }
  const std::string keeper = KeeperOf(kTeam, daemons_[0].quota_members);
  const int keeper_number = keeper == Address(0) ? 0 : 1;
  Daemon& asker = daemons_[1 - keeper_number];
  const auto ask = [&](std::uint64_t number, const std::string& to) {
    const OutgoingQuotaMessage message{
        .to = to,
        .message = {.team = std::string(kTeam), .number = number, .tokens = 3}};
    asker.quota_answers.clear();
    asker.gossip->SendQuotaMessages({&message, 1});
    RunUntil([&] { return !asker.quota_answers.empty(); });
  };
  // The bucket fills from the time at which the keeper knows the quota.
  std::uint64_t number = 0;
  do {
    // Asks without a pause would exceed the bound of bytes.
    const TimePoint next = BootClock::now() + std::chrono::milliseconds(100);
    RunUntil([&] { return BootClock::now() >= next; });
    ask(++number, keeper);
    ASSERT_FALSE(asker.quota_answers.empty());
    ASSERT_EQ(asker.quota_answers.front().first, keeper);
    ASSERT_EQ(asker.quota_answers.front().second.kind,
              QuotaMessageKind::kGrant);
  } while (asker.quota_answers.front().second.tokens < 3);
  EXPECT_EQ(asker.quota_answers.front().second.number, number);
  // A repeated ask gets the same grant.
  const QuotaMessage grant = asker.quota_answers.front().second;
  ask(number, keeper);
  ASSERT_FALSE(asker.quota_answers.empty());
  EXPECT_EQ(asker.quota_answers.front().second, grant);
  // This daemon is not the keeper, and names it.
  ask(++number, Address(1 - keeper_number));
  ASSERT_FALSE(asker.quota_answers.empty());
  EXPECT_EQ(asker.quota_answers.front().second.kind,
            QuotaMessageKind::kElsewhere);
  EXPECT_EQ(asker.quota_answers.front().second.keeper, keeper);
}

}  // namespace
}  // namespace lacewingknot::edge
