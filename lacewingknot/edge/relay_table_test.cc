#include "lacewingknot/edge/relay_table.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::edge {
namespace {

// A daemon without replicas of its own, and relays in two other data centres.
class RelayTableTest : public ::testing::Test {
 protected:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  void SetUp() override {
    RelayCandidates members{{"here", {{.address = "127.0.0.1:1"}}}};
    for (const std::string& name : data_centres_) {
      // Links connect to the listening socket; nobody needs to accept.
      acceptors_.emplace_back(io_,
                              boost::asio::ip::tcp::endpoint(
                                  boost::asio::ip::address_v4::loopback(), 0));
      members[name] = {
          {.address =
               "127.0.0.1:" +
               std::to_string(acceptors_.back().local_endpoint().port())}};
    }
    table_.set_members(members, "127.0.0.1:1");
    table_.set_replica_data_centres(
        {data_centres_.begin(), data_centres_.end()});
    const TimePoint end = BootClock::now() + std::chrono::seconds(10);
    while (UsedBy(0, true).size() < 2 || UsedBy(0, false).empty()) {
      ASSERT_LT(BootClock::now(), end);
      io_.run_one_for(std::chrono::milliseconds(20));
    }
  }

  // Returns the data centres that `query` uses for all groups.
  std::set<std::string> UsedBy(std::uint64_t query, bool divides_groups) {
    std::set<std::string> used;
    for (std::size_t group = 0; group < RelayRanking::kGroupCount; ++group) {
      const auto choice =
          table_.ChooseRelay({.replica_data_centres = data_centres_,
                              .group = group,
                              .query = query,
                              .divides_groups = divides_groups},
                             BootClock::now());
      if (choice.relay) used.insert(choice.data_centre);
    }
    return used;
  }

  const std::vector<std::string> data_centres_{"north", "south"};
  boost::asio::io_context io_;
  TimerQueue timers_{io_};
  std::vector<Acceptor> acceptors_;
  RelayTable table_{{.io = &io_, .timers = &timers_, .data_centre = "here"}};
};

// Guards against hedges that need the query's head at a relay in every data
// centre.
TEST_F(RelayTableTest, Groups_NotDivided_GoToOneDataCentreInTurn) {
  EXPECT_EQ(UsedBy(1, true).size(), 2U);
  EXPECT_EQ(UsedBy(1, false).size(), 1U);
  EXPECT_NE(UsedBy(1, false), UsedBy(2, false));
}

}  // namespace
}  // namespace lacewingknot::edge
