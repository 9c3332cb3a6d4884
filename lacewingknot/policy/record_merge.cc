#include "lacewingknot/policy/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace lacewingknot {

std::string MergeTopRecords(std::span<const std::string_view> parts,
                            std::size_t count) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts) {
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
      records.push_back(part.substr(0, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
  // string_view compares bytes as unsigned values.
  std::partial_sort(records.begin(), end, records.end(),
                    std::greater<std::string_view>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (auto it = records.begin(); it != end; ++it) merged += *it;
  return merged;
}

std::string TopRecordsMerger::Add(std::span<const std::string_view> parts) {
  std::vector<std::string_view> all(parts.begin(), parts.end());
  all.push_back(kept_);
  std::string merged = MergeTopRecords(all, count_);
  const std::string_view kept = kept_;
  const std::string_view sorted = merged;
  std::string added;
  std::size_t kept_at = 0;
  for (std::size_t at = 0; at < merged.size(); at += kRecordBytes) {
    const auto record = sorted.substr(at, kRecordBytes);
    // Both strings are in descending order, so the records that were kept
    // before appear in `merged` in the same order.
    if (kept.substr(kept_at, kRecordBytes) == record) {
      kept_at += kRecordBytes;
    } else {
      added += record;
    }
  }
  kept_ = std::move(merged);
  return added;
}

}  // namespace lacewingknot
