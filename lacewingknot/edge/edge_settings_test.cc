#include "lacewingknot/edge/edge_settings.h"

#include <gtest/gtest.h>

namespace lacewingknot::edge {
namespace {

constexpr std::string_view kValidFile = R"(
vm = "front-1"
data_centre = "regina"
listen = "10.1.0.9:8104"
readiness_listen = "10.1.0.9:8108"
control_listen = "10.1.0.9:8106"
metrics_listen = "10.1.0.9:9464"
gossip_listen = "10.1.0.9:7380"
peers = ["10.1.0.9:8106", "10.2.0.9:8106"]
store = "10.200.1.7:8102"
store_max_staleness_ms = 5000
changes_in_force_ms = 5000
upstream_drain_ms = 4000
processor_share = 0.12
log_level = "warning"
disabled_mechanisms = ["hedging", "relays"]
[extra_load]
ratio = 0.2
attempts = 52
[concurrency_limit]
enabled = true
[stop]
grace_seconds = 6
)";

class EdgeSettingsTest : public ::testing::Test {
 protected:
  // Parses the valid file with `from` replaced by `to` and returns the faults.
  static std::vector<SettingsFault> FaultsAfterReplacing(std::string_view from,
                                                         std::string_view to) {
    std::string text(kValidFile);
    text.replace(text.find(from), from.size(), to);
    return ParseEdgeSettings(text).faults;
  }
};

TEST_F(EdgeSettingsTest, File_AllKeysValid_IsAccepted) {
  const auto parsed = ParseEdgeSettings(kValidFile);
  ASSERT_TRUE(parsed.faults.empty());
  EXPECT_TRUE(parsed.ignored.empty());
  EXPECT_EQ(parsed.settings.vm, "front-1");
  EXPECT_EQ(parsed.settings.peers.size(), 2U);
  EXPECT_EQ(parsed.settings.log_level, LogLevel::kWarning);
  EXPECT_EQ(parsed.settings.stop_grace, std::chrono::seconds(6));
  EXPECT_EQ(parsed.settings.store_max_staleness, std::chrono::seconds(5));
  EXPECT_EQ(parsed.settings.changes_in_force, std::chrono::seconds(5));
  EXPECT_EQ(parsed.settings.upstream_drain, std::chrono::seconds(4));
  EXPECT_DOUBLE_EQ(parsed.settings.processor_share, 0.12);
  EXPECT_EQ(MechanismNames(parsed.settings.disabled_mechanisms),
            "hedging,relays");
  EXPECT_DOUBLE_EQ(parsed.settings.extra_attempts, 52);
  EXPECT_TRUE(parsed.settings.concurrency_limit);
}

TEST_F(EdgeSettingsTest, File_UnknownKey_IsAcceptedAndReported) {
  const auto parsed =
      ParseEdgeSettings("colour = 1\n" + std::string(kValidFile));
  EXPECT_TRUE(parsed.faults.empty());
  ASSERT_EQ(parsed.ignored.size(), 1U);
  EXPECT_EQ(parsed.ignored.front(), "colour");
}

TEST_F(EdgeSettingsTest, Key_Invalid_IsRejectedWithLineKeyAndAcceptedForm) {
  const struct {
    std::string_view from, to, key;
  } cases[] = {
      {"vm = \"front-1\"", "", "vm"},
      {"\"front-1\"", "7", "vm"},
      {"\"10.1.0.9:8104\"", "\"front\"", "listen"},
      {"\"10.1.0.9:8104\"", "\"10.1.0.9:99999\"", "listen"},
      {"[\"10.1.0.9:8106\",", "[5,", "peers"},
      {"ratio = 0.2", "ratio = 2", "extra_load.ratio"},
      {"attempts = 52", "attempts = \"many\"", "extra_load.attempts"},
      {"enabled = true", "enabled = 1", "concurrency_limit.enabled"},
      {"grace_seconds = 6", "grace_seconds = 0", "stop.grace_seconds"},
      {"\"warning\"", "\"loud\"", "log_level"},
      {"\"hedging\"", "\"hedgin\"", "disabled_mechanisms"},
      {"[\"hedging\", \"relays\"]", "\"hedging\"", "disabled_mechanisms"},
  };
  for (const auto& invalid : cases) {
    const auto faults = FaultsAfterReplacing(invalid.from, invalid.to);
    ASSERT_EQ(faults.size(), 1U) << invalid.to;
    EXPECT_EQ(faults.front().key, invalid.key);
    EXPECT_FALSE(faults.front().accepted.empty());
  }
}

TEST_F(EdgeSettingsTest, Quota_Absent_NoneIsEnforced) {
  EXPECT_FALSE(ParseEdgeSettings(kValidFile).settings.quota_bounds);
}

TEST_F(EdgeSettingsTest, Quota_Given_IsRead) {
  const std::string file(kValidFile);
  const auto empty = ParseEdgeSettings(file + "[quota]\n");
  ASSERT_TRUE(empty.faults.empty());
  ASSERT_TRUE(empty.settings.quota_bounds);
  EXPECT_EQ(empty.settings.quota_bounds->window, std::chrono::seconds(5));
  EXPECT_DOUBLE_EQ(empty.settings.quota_bounds->overshoot, 0.25);
  EXPECT_DOUBLE_EQ(empty.settings.quota_bounds->slack, 20);

  const auto given = ParseEdgeSettings(
      file + "[quota]\nwindow_ms = 2500\novershoot = 0\nslack = 7.5\n");
  ASSERT_TRUE(given.faults.empty());
  EXPECT_TRUE(given.ignored.empty());
  ASSERT_TRUE(given.settings.quota_bounds);
  EXPECT_EQ(given.settings.quota_bounds->window,
            std::chrono::milliseconds(2'500));
  EXPECT_DOUBLE_EQ(given.settings.quota_bounds->overshoot, 0);
  EXPECT_DOUBLE_EQ(given.settings.quota_bounds->slack, 7.5);

  const auto seconds = ParseEdgeSettings(file + "[quota]\nwindow_seconds = 8");
  ASSERT_TRUE(seconds.faults.empty());
  EXPECT_EQ(seconds.settings.quota_bounds->window, std::chrono::seconds(8));
}

TEST_F(EdgeSettingsTest, Quota_Invalid_IsRejectedWithKeyAndAcceptedForm) {
  const struct {
    std::string_view table, key;
  } cases[] = {
      {"window_ms = 999", "quota.window_ms"},
      {"window_ms = \"long\"", "quota.window_ms"},
      {"window_seconds = 601", "quota.window_seconds"},
      {"overshoot = -0.1", "quota.overshoot"},
      {"overshoot = nan", "quota.overshoot"},
      {"overshoot = inf", "quota.overshoot"},
      {"overshoot = true", "quota.overshoot"},
      {"slack = -1", "quota.slack"},
      {"slack = 2e6", "quota.slack"},
  };
  for (const auto& invalid : cases) {
    const auto faults =
        ParseEdgeSettings(std::string(kValidFile) + "[quota]\n" +
                          std::string(invalid.table))
            .faults;
    ASSERT_EQ(faults.size(), 1U) << invalid.table;
    EXPECT_EQ(faults.front().key, invalid.key);
    EXPECT_FALSE(faults.front().accepted.empty());
  }
  const auto faults = FaultsAfterReplacing("log_level", "quota = 5\nlog_level");
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults.front().key, "quota");
}

TEST_F(EdgeSettingsTest, File_NotToml_IsRejectedWithLine) {
  const auto parsed = ParseEdgeSettings("vm = \"a\"\nlisten = = 1\n");
  ASSERT_EQ(parsed.faults.size(), 1U);
  EXPECT_EQ(parsed.faults.front().line, 2U);
}

}  // namespace
}  // namespace lacewingknot::edge
