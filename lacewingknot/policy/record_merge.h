// Top-k merge of result parts that consist of fixed-size records.
//
// Records are compared byte by byte as unsigned values; the greatest comes
// first.

#ifndef LACEWINGKNOT_POLICY_RECORD_MERGE_H_
#define LACEWINGKNOT_POLICY_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace lacewingknot {

inline constexpr std::size_t kRecordBytes = 16;

// Returns the greatest `count` records of all `parts`, greatest first. Equal
// records are kept separately. A remainder shorter than a record is ignored.
std::string MergeTopRecords(std::span<const std::string_view> parts,
                            std::size_t count);

// Incremental top-k merge of parts that arrive one after another. Merging all
// batches that Add() returns gives the same result as merging all parts at
// once.
//
// Example:
//   TopRecordsMerger top_records(20);
//   Send(top_records.Add(parts));
class TopRecordsMerger {
 public:
  explicit TopRecordsMerger(std::size_t count) : count_(count) {}

  // Merges `parts` and returns those of their records that are among the
  // greatest `count` so far, greatest first.
  std::string Add(std::span<const std::string_view> parts);

 private:
  std::size_t count_;
  std::string kept_;  // The greatest records so far, greatest first.
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_RECORD_MERGE_H_
