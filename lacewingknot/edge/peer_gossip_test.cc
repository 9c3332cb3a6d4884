#include "lacewingknot/edge/peer_gossip.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace lacewingknot::edge {
namespace {

class PeerGossipTest : public ::testing::Test {
 protected:
  struct Daemon {
    std::unique_ptr<PeerGossip> gossip;
    std::size_t fleet_size = 0;
    std::uint64_t received_revision = 0;
    TimePoint confirmed_at{};
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
                       daemon.received_revision =
                           std::max(daemon.received_revision, report.revision);
                       daemon.confirmed_at =
                           std::max(daemon.confirmed_at, report.confirmed_at);
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
  daemons_[2].gossip->SetStoreConfirmed(412);
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
    if (is_sentinel(entry)) entry.second.gossip->SetStoreConfirmed(412);
  }
  RunUntil([&] {
    return std::all_of(daemons_.begin(), daemons_.end(), [&](auto& entry) {
      // An age is sent in whole milliseconds.
      return is_sentinel(entry) ||
             entry.second.confirmed_at >= before - std::chrono::milliseconds(1);
    });
  });
  for (const auto& entry : daemons_) {
    EXPECT_LE(entry.second.confirmed_at, BootClock::now());
  }
}

}  // namespace
}  // namespace lacewingknot::edge
