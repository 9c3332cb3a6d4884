// Merges parts of fixed-size records into the greatest k.

#ifndef LACEWINGKNOT_POLICY_RECORD_MERGE_H_
#define LACEWINGKNOT_POLICY_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace lacewingknot {

inline constexpr std::size_t kRecordBytes = 16;

// The greatest `count` records of all `parts`, greatest first, compared byte by
// byte. Equal records all count. A remainder shorter than a record is ignored.
std::string MergeGreatestRecords(std::span<const std::string_view> parts,
                                 std::size_t count);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_RECORD_MERGE_H_
