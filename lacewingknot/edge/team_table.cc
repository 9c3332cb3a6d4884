#include "lacewingknot/edge/team_table.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace lacewingknot::edge {

KeyDigest DigestOfKey(std::string_view key) {
  static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);
  KeyDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return digest;
}

TeamTable::TeamTable(std::vector<Entry> entries) {
  teams_.reserve(entries.size());
  for (Entry& entry : entries) {
    for (const KeyDigest& digest : entry.keys) {
      keys_.push_back({.digest = digest, .team = teams_.size()});
    }
    teams_.push_back(std::move(entry.team));
  }
  std::sort(keys_.begin(), keys_.end(),
            [](const Key& a, const Key& b) { return a.digest < b.digest; });
}

TeamTable::Match TeamTable::Find(std::string_view bearer, Work* work) const {
  Match match{.key = DigestOfKey(bearer)};
  if (work != nullptr) ++work->hashes;
  match.team = FindDigest(match.key, work);
  return match;
}

const Team* TeamTable::FindDigest(const KeyDigest& digest, Work* work) const {
  // A binary search whose number of steps depends only on the number of keys:
  // it does not end early when it meets the digest.
  std::size_t begin = 0;
  std::size_t comparisons = 0;
  for (std::size_t size = keys_.size(); size > 1; size -= size / 2) {
    const std::size_t middle = begin + size / 2;
    const bool is_above =
        std::memcmp(digest.data(), keys_[middle].digest.data(), digest.size()) <
        0;
    begin = is_above ? begin : middle;
    ++comparisons;
  }
  const Team* team = nullptr;
  if (!keys_.empty()) {
    ++comparisons;
    if (keys_[begin].digest == digest) team = &teams_[keys_[begin].team];
  }
  if (work != nullptr) work->comparisons += comparisons;
  return team;
}

std::map<std::string, std::size_t> TeamTable::KeysMissingIn(
    const TeamTable& other) const {
  std::map<std::string, std::size_t> missing;
  for (const Key& key : keys_) {
    const std::string& name = teams_[key.team].name;
    const Team* team = other.FindDigest(key.digest);
    if (team == nullptr || team->name != name) ++missing[name];
  }
  return missing;
}

}  // namespace lacewingknot::edge
