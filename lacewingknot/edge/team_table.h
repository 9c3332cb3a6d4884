// The teams of a configuration and the API keys by which they are recognised.
//
// Keys are held as SHA-256 only. A look-up hashes the presented key once and
// compares the digest as often for a key that is known as for one that is not,
// so that its duration tells a client nothing about the table.
//
// Thread-safe: immutable after construction.
//
// Example:
//   TeamTable teams({{.team = {.name = "search"},
//                     .keys = {DigestOfKey("s3cret")}}});
//   if (const auto match = teams.Find(presented_key)) Serve(*match.team);

#ifndef LACEWINGKNOT_EDGE_TEAM_TABLE_H_
#define LACEWINGKNOT_EDGE_TEAM_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingknot::edge {

struct Team {
  std::string name;
  // 0 is the most urgent; empty: the priority of the route counts.
  std::optional<std::int64_t> priority;
  // Quota over all daemons; a rate of 0 means that there is none.
  double rate_per_second = 0;
  double burst = 0;
};

// SHA-256 of an API key.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest DigestOfKey(std::string_view key);

class TeamTable {
 public:
  struct Entry {
    Team team;
    std::vector<KeyDigest> keys;
  };
  struct Match {
    const Team* team = nullptr;  // Valid for the life of the table.
    KeyDigest key{};             // Of the presented key, known or not.

    explicit operator bool() const { return team != nullptr; }
  };
  // Operations of look-ups, counted by tests.
  struct Work {
    std::size_t hashes = 0;
    std::size_t comparisons = 0;
  };

  TeamTable() = default;
  // No key may occur twice in `entries`.
  explicit TeamTable(std::vector<Entry> entries);

  // Returns the team of the key that a client presented; no team if the key is
  // unknown. Adds the operations to `work` unless that is null.
  Match Find(std::string_view bearer, Work* work = nullptr) const;
  // Returns the team of the key with `digest`; null if there is none.
  const Team* FindDigest(const KeyDigest& digest, Work* work = nullptr) const;

  // Without teams, requests need no key.
  bool empty() const { return teams_.empty(); }
  const std::vector<Team>& teams() const { return teams_; }
  std::size_t key_count() const { return keys_.size(); }
  // Returns the number of keys of each team, by name, that `other` lacks or
  // gives to a team of another name.
  std::map<std::string, std::size_t> KeysMissingIn(
      const TeamTable& other) const;

 private:
  struct Key {
    KeyDigest digest{};
    std::size_t team = 0;  // Position in `teams_`.
  };

  std::vector<Team> teams_;
  std::vector<Key> keys_;  // Sorted by digest.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_TEAM_TABLE_H_
