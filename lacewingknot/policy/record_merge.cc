#include "lacewingknot/policy/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace lacewingknot {

std::string MergeGreatestRecords(std::span<const std::string_view> parts,
                                 std::size_t count) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts) {
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
      records.push_back(part.substr(0, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
  // string_view compares as unsigned bytes.
  std::partial_sort(records.begin(), end, records.end(),
                    std::greater<std::string_view>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (auto it = records.begin(); it != end; ++it) merged += *it;
  return merged;
}

}  // namespace lacewingknot
