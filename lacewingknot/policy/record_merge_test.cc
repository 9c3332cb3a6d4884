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

TEST(RecordMergeTest, Records_OfSeveralParts_AreReturnedGreatestFirst) {
  const std::string first = Record('b') + Record('\xff');
  const std::string second = Record('c');
  const std::vector<std::string_view> parts{first, second};
  EXPECT_EQ(MergeTopRecords(parts, 2), Record('\xff') + Record('c'));
}

TEST(RecordMergeTest, Records_Equal_AreKeptSeparately) {
  const std::string part = Record('a') + Record('a');
  const std::vector<std::string_view> parts{part, part};
  EXPECT_EQ(MergeTopRecords(parts, 3), Record('a') + Record('a') + Record('a'));
}

TEST(RecordMergeTest, Remainder_ShorterThanARecord_IsIgnored) {
  const std::string part = Record('a') + "zzz";
  const std::vector<std::string_view> parts{part, ""};
  EXPECT_EQ(MergeTopRecords(parts, 5), Record('a'));
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
  RC_ASSERT(MergeTopRecords(parts, count) == expected);
}

// Batches of several relays, each of which merges the parts that it has so far.
RC_GTEST_PROP(TopRecordsMergerProperty, Batches_Merged_EqualMergingAllParts,
              ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 12);
  constexpr std::size_t kRelays = 3;
  std::vector<TopRecordsMerger> relays(kRelays, TopRecordsMerger(count));
  std::vector<std::string> parts;
  std::vector<std::string> batches;
  const auto steps = *rc::gen::inRange(1, 12);
  for (int step = 0; step < steps; ++step) {
    // Few distinct letters, so that equal records occur. Some parts end in a
    // remainder.
    const auto sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    std::vector<std::string> new_parts;
    for (const int size : sizes) {
      std::string part;
      for (int i = 0; i < size; ++i) {
        part += std::string(kRecordBytes,
                            static_cast<char>(*rc::gen::inRange('a', 'f')));
      }
      if (*rc::gen::arbitrary<bool>()) part += "rest";
      new_parts.push_back(std::move(part));
    }
    const std::vector<std::string_view> views(new_parts.begin(),
                                              new_parts.end());
    batches.push_back(
        relays[*rc::gen::inRange<std::size_t>(0, kRelays)].Add(views));
    parts.insert(parts.end(), new_parts.begin(), new_parts.end());
  }
  const std::vector<std::string_view> all(parts.begin(), parts.end());
  const std::vector<std::string_view> merged(batches.begin(), batches.end());
  RC_ASSERT(MergeTopRecords(merged, count) == MergeTopRecords(all, count));
}

}  // namespace
}  // namespace lacewingknot
