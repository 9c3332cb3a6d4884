// How many daemons share the limits of the upstreams.
//
// Daemons gossip samples of the members they know; a member whose heartbeat has
// not risen for kForgetAfter is forgotten. The delay is long on purpose: a
// daemon that is cut off from the others must not take their shares of a limit,
// which they still use.
//
// Pure: takes time and randomness as arguments. Not thread-safe.
//
// Example:
//   Membership members({.address = "10.1.0.9:7380", .incarnation = start_ms});
//   members.Merge(received.members, now);
//   Send(members.Sample(12, random), members.PickPeer(random));

#ifndef LACEWINGKNOT_POLICY_MEMBERSHIP_H_
#define LACEWINGKNOT_POLICY_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

// A later start or a higher heartbeat is newer.
struct Member {
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint64_t heartbeat = 0;
  std::string data_centre;
  double processor_share = 1;  // Part of a processor that the daemon has.
};

class Membership {
 public:
  static constexpr Duration kForgetAfter = std::chrono::seconds(30);

  struct Options {
    std::string address;
    std::uint64_t incarnation = 0;
    std::string data_centre;
    double processor_share = 1;
  };

  explicit Membership(Options options);

  void Merge(std::span<const Member> members, TimePoint now);
  // The size that a peer counts. It holds until this daemon has listened for
  // kForgetAfter and knows the members itself.
  void OnPeerSize(std::size_t size, TimePoint now);

  // Raises the own heartbeat; this daemon and up to `count` others.
  std::vector<Member> Sample(std::size_t count, std::mt19937_64& random);
  // Another member; none if none is known.
  std::optional<std::string_view> PickPeer(std::mt19937_64& random) const;

  // Members heard of within kForgetAfter, in the order of their addresses, this
  // daemon included.
  std::vector<Member> Alive(TimePoint now);

  // Members heard of lately, this daemon included.
  std::size_t Known(TimePoint now);
  // The same, or what a peer counts if that is more.
  std::size_t Size(TimePoint now);

 private:
  struct Heard {
    Member member;
    TimePoint heard_at{};
  };

  // Drops members whose heartbeat has not risen for kForgetAfter.
  void Forget(TimePoint now);

  std::string self_;
  std::map<std::string, Heard, std::less<>> known_;
  std::size_t claimed_size_ = 1;
  TimePoint claimed_at_{};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_MEMBERSHIP_H_
