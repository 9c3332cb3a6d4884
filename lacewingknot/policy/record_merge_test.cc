#include "lacewingknot/policy/record_merge.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace lacewingknot {
namespace {

std::string Record(char lead) {
  return std::string(1, lead) + "123456789abcdef";
}

TEST(RecordMergeTest, Records_OfSeveralParts_ComeGreatestFirst) {
  const std::string first = Record('b') + Record('\xff');
  const std::string second = Record('c');
  const std::vector<std::string_view> parts{first, second};
  EXPECT_EQ(MergeGreatestRecords(parts, 2), Record('\xff') + Record('c'));
}

TEST(RecordMergeTest, Records_Equal_AllCount) {
  const std::string part = Record('a') + Record('a');
  const std::vector<std::string_view> parts{part, part};
  EXPECT_EQ(MergeGreatestRecords(parts, 3),
            Record('a') + Record('a') + Record('a'));
}

TEST(RecordMergeTest, Remainder_ShorterThanARecord_IsIgnored) {
  const std::string part = Record('a') + "zzz";
  const std::vector<std::string_view> parts{part, ""};
  EXPECT_EQ(MergeGreatestRecords(parts, 5), Record('a'));
}

RC_GTEST_PROP(RecordMergeProperty, Merge_AnyParts_EqualsSortingAll,
              (const std::vector<std::string>& texts)) {
  const auto count = *rc::gen::inRange<std::size_t>(0, 30);
  std::vector<std::string_view> parts(texts.begin(), texts.end());
  std::vector<std::string> all;
  for (std::string_view part : parts) {
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
      all.emplace_back(part.substr(0, kRecordBytes));
    }
  }
  std::sort(all.begin(), all.end(), std::greater<>());
  std::string expected;
  for (std::size_t i = 0; i < std::min(count, all.size()); ++i) {
    expected += all[i];
  }
  RC_ASSERT(MergeGreatestRecords(parts, count) == expected);
}

}  // namespace
}  // namespace lacewingknot
