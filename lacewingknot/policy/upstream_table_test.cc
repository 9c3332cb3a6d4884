#include "lacewingknot/policy/upstream_table.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamTableTest : public ::testing::Test {
 protected:
  UpstreamTableTest() {
    table_.ApplySettings(ParseSettings(kSettings).tree);
    ApplyList("");
    table_.set_permit_until(clock_.now() + std::chrono::hours(1));
    shard_ = table_.Shards("s").value().front();
  }

  // Applies a VM list in which the VM of upstream `leaving` is leaving.
  void ApplyList(std::string_view leaving) {
    auto list = std::make_shared<VmList>();
    list->revision = ++revision_;
    list->vms.push_back({.id = "vm-0", .data_centre = "x"});
    for (const char* name : {"a", "b"}) {
      list->vms.push_back({.id = std::string("up-") + name,
                           .data_centre = "x",
                           .upstream = name,
                           .is_leaving = leaving == name});
    }
    table_.ApplyVmList(list, clock_.now());
  }
  void Answer(std::string_view name, Duration latency) {
    table_.OnAnswer(
        *table_.Find(name),
        {.instance = "i", .versions = versions_, .latency = latency},
        clock_.now());
  }
  std::string ChosenUpstream() {
    const auto route =
        table_.ChooseRoute({.replicas = shard_.replicas}, clock_.now());
    return route ? std::string(table_.name(route.value().upstream)) : "none";
  }

  static constexpr std::string_view kSettings = R"(revision = 1
[data_centre.x]
[service.s]
warmup = false
[upstream.a]
service = "s"
address = "127.0.0.1:1"
data_centre = "x"
[upstream.b]
service = "s"
address = "127.0.0.1:2"
data_centre = "x"
)";

  ManualClock clock_;
  UpstreamTable table_{{.fleet = {.self = "vm-0", .lease = seconds(3)}}};
  std::uint64_t revision_ = 0;
  std::vector<IndexVersion> versions_{41, 42};
  ShardTarget shard_;
};

TEST_F(UpstreamTableTest, Replica_TenTimesSlower_IsNotChosen) {
  for (int i = 0; i < 50; ++i) {
    Answer("a", milliseconds(60));
    Answer("b", milliseconds(6));
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ChosenUpstream(), "b");
}

TEST_F(UpstreamTableTest, Replica_SlowLongAgo_IsChosenAgain) {
  for (int i = 0; i < 50; ++i) Answer("a", milliseconds(60));
  clock_.Advance(std::chrono::minutes(2));
  for (int i = 0; i < 50; ++i) Answer("b", milliseconds(6));
  EXPECT_EQ(ChosenUpstream(), "a");
}

TEST_F(UpstreamTableTest, Upstream_LeavingInVmList_GetsNoNewAttempts) {
  ApplyList("a");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ChosenUpstream(), "b");
  EXPECT_FALSE(table_.CheckSend(*table_.Find("a"), clock_.now()));
}

TEST_F(UpstreamTableTest, Upstream_AnsweredDraining_GetsNoNewAttempts) {
  table_.OnFailure(*table_.Find("a"), ErrorType::kUpstreamDraining, {},
                   clock_.now());
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ChosenUpstream(), "b");
}

TEST_F(UpstreamTableTest,
       Upstream_RemovedFromSettings_OldHandleGetsNoNewAttempts) {
  const UpstreamHandle a = *table_.Find("a");
  const std::string text =
      "revision = 2\n[data_centre.x]\n[service.s]\nwarmup = false\n"
      "[upstream.b]\nservice = \"s\"\naddress = \"127.0.0.1:2\"\n"
      "data_centre = \"x\"\n";
  table_.ApplySettings(ParseSettings(text).tree);
  EXPECT_FALSE(table_.CheckSend(a, clock_.now()));
  EXPECT_EQ(ChosenUpstream(), "b");
}

TEST_F(UpstreamTableTest, Version_AllShardsHaveIt_NewestIsChosen) {
  Answer("a", milliseconds(1));
  EXPECT_EQ(table_.ChooseVersion({&shard_, 1}, {}, clock_.now()), 42U);
  const std::vector<IndexVersion> avoid{42};
  EXPECT_EQ(table_.ChooseVersion({&shard_, 1}, avoid, clock_.now()), 41U);
}

}  // namespace
}  // namespace lacewingknot
