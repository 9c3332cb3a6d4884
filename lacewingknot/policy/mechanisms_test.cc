#include "lacewingknot/policy/mechanisms.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lacewingknot {
namespace {

TEST(MechanismsTest, Names_All_AreSortedAndFound) {
  EXPECT_TRUE(
      std::ranges::is_sorted(AllMechanisms(), {}, &MechanismInfo::name));
  for (const MechanismInfo& info : AllMechanisms()) {
    EXPECT_EQ(FindMechanism(info.name), info.mechanism);
    EXPECT_FALSE(info.description.empty());
  }
  EXPECT_EQ(FindMechanism("hedgin"), std::nullopt);
}

TEST(MechanismsTest, Set_WithTwo_ContainsOnlyThese) {
  MechanismSet set;
  EXPECT_TRUE(set.empty());
  set.Insert(Mechanism::kUrgentHedgesFirst);
  set.Insert(Mechanism::kBackoff);
  EXPECT_TRUE(set.Contains(Mechanism::kBackoff));
  EXPECT_FALSE(set.Contains(Mechanism::kHedging));
  EXPECT_EQ(MechanismNames(set), "backoff,urgent_hedges_first");
}

}  // namespace
}  // namespace lacewingknot
