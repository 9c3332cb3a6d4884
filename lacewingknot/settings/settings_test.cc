#include <gtest/gtest.h>

#include "lacewingknot/settings/tree.h"

namespace lacewingknot {
namespace {

constexpr std::string_view kValidDocument = R"(revision = 3
[data_centre.regina]
state = "in"
[service.wicket]
deadline = "200ms"
hedging = false
[service.wicket01]
parent = "wicket"
hedging = true
[upstream.a]
service = "wicket01"
address = "127.0.0.1:9001"
data_centre = "regina"
)";

TEST(SettingsTest, Service_ParentSetsValue_InheritsValueWithOrigin) {
  const SettingsPtr tree = ParseSettings(kValidDocument).tree;
  ASSERT_NE(tree, nullptr);
  const auto all = tree->EffectiveSettings("wicket01");
  const auto& deadline = all[static_cast<std::size_t>(SettingKey::kDeadline)];
  EXPECT_EQ(FormatValue(deadline.value), "200ms");
  EXPECT_EQ(deadline.origin, "wicket");
  const auto& hedging = all[static_cast<std::size_t>(SettingKey::kHedging)];
  EXPECT_EQ(hedging.origin, "wicket01");
  const auto& slots = all[static_cast<std::size_t>(SettingKey::kSlots)];
  EXPECT_EQ(slots.origin, "default");
}

TEST(SettingsTest, Shards_OfParentService_AreChildrenWithUpstreams) {
  const SettingsPtr tree = ParseSettings(kValidDocument).tree;
  EXPECT_EQ(tree->Shards("wicket"), std::vector<std::string>{"wicket01"});
}

struct Broken {
  const char* name;
  const char* text;  // Appended to the valid document.
  std::uint32_t line;
  const char* key;
};

class BrokenSettingsTest : public ::testing::TestWithParam<Broken> {};

TEST_P(BrokenSettingsTest, Document_Broken_RefusedWithLineAndKey) {
  const ParsedSettings parsed =
      ParseSettings(std::string(kValidDocument) + GetParam().text);
  EXPECT_EQ(parsed.tree, nullptr);
  ASSERT_EQ(parsed.faults.size(), 1U);
  EXPECT_EQ(parsed.faults[0].line, GetParam().line);
  EXPECT_EQ(parsed.faults[0].key, GetParam().key);
  EXPECT_FALSE(parsed.faults[0].accepted.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BrokenSettingsTest,
    ::testing::Values(
        Broken{"unknown_key", "[service.x]\ndeadlin = \"2s\"\n", 15,
               "service.x.deadlin"},
        Broken{"no_unit", "[service.x]\ndeadline = 200\n", 15,
               "service.x.deadline"},
        Broken{"unknown_unit", "[service.x]\ndeadline = \"2h\"\n", 15,
               "service.x.deadline"},
        Broken{"out_of_range", "[service.x]\nextra_load = 1.5\n", 15,
               "service.x.extra_load"},
        Broken{"wrong_type", "[service.x]\nhedging = \"yes\"\n", 15,
               "service.x.hedging"},
        Broken{"not_a_choice", "[service.x]\nreplica_choice = \"best\"\n", 15,
               "service.x.replica_choice"},
        Broken{"no_such_parent", "[service.x]\nparent = \"y\"\n", 14,
               "service.x.parent"},
        Broken{"self_parent", "[service.x]\nparent = \"x\"\n", 14,
               "service.x.parent"},
        Broken{"no_address",
               "[upstream.b]\nservice = \"wicket\"\ndata_centre = \"regina\"\n",
               14, "upstream.b.address"},
        Broken{"no_such_centre",
               "[upstream.b]\nservice = \"wicket\"\naddress = \"1.1.1.1:1\"\n"
               "data_centre = \"x\"\n",
               14, "upstream.b.data_centre"},
        Broken{"bad_state", "[data_centre.x]\nstate = \"gone\"\n", 15,
               "data_centre.x.state"},
        Broken{"not_toml", "[service.x\n", 14, "document"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(SettingsTest, Revision_Missing_DocumentIsRefused) {
  EXPECT_EQ(ParseSettings("[service.a]\n").faults.at(0).key, "revision");
}

}  // namespace
}  // namespace lacewingknot
