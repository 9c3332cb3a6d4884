// Decides where a daemon gets the contents of the store from: from a peer, the
// source, or from the store itself.
//
// Load pattern: hundreds of daemons need the same contents within seconds, and
// each call to the store has a cost. A few daemons, the sentinels
// (policy/watch_schedule.h), read the store; the others, the followers, get the
// contents from one of them over a link.
//
// A follower leaves a source that is silent, that is behind what other peers
// have seen, or whose contents the store has not confirmed for long. After two
// sources it reads the store itself, until a source is fit again. If the store
// fails too, the follower stays with a source although its contents are stale,
// since none is better, and asks the store again at growing intervals. A daemon
// with a later confirmation, known by gossip, is preferred then: a daemon that
// the store refuses learns changes through any peer that the store serves,
// directly or over a few others.
//
// When all daemons start together, no sentinels are known yet. Each daemon asks
// the seeds of its settings in an order that is the same everywhere, so that
// one or two seeds are asked by all. A daemon without contents also reads the
// store at once: one that waits for a source serves nothing meanwhile, and a
// fleet that returns from a power loss loses its requests.
//
// No I/O and no clock. Not thread-safe.
//
// Example:
//   ContentsSource source({.max_unconfirmed = std::chrono::seconds(3)});
//   const auto decision = source.Decide(now, {.sources = ranked});
//   link.SetPeer(decision.peer);
//   if (decision.calls_store) CallStore(); else WaitUntil(decision.until);

#ifndef LACEWINGKNOT_POLICY_CONTENTS_SOURCE_H_
#define LACEWINGKNOT_POLICY_CONTENTS_SOURCE_H_

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

// The daemons that a daemon may get the contents from.
struct ContentsPeers {
  // The sentinels are known; before, `sources` are seeds.
  bool is_settled = false;
  // This daemon is a sentinel.
  bool is_sentinel = false;
  // Addresses, in order of preference.
  std::vector<std::string> sources;
};

class ContentsSource {
 public:
  struct Options {
    // Age of the store's confirmation from which on a source is stale.
    Duration max_unconfirmed = std::chrono::milliseconds(3'000);
    // Time for which a source may be behind what a peer has seen: sentinels
    // gather changes, so that one has them later than another.
    Duration behind_tolerance = std::chrono::milliseconds(900);
    std::uint32_t random_seed = 0;
  };
  struct State {
    // Of this daemon: it has read or received the contents.
    bool has_contents = false;
    // A peer has seen a later revision than this daemon.
    bool is_behind = false;
    ContentsPeers peers;
  };
  // What a message of the source showed.
  struct Message {
    bool has_contents = false;
    // The source's contents are in force here.
    bool is_in_force = false;
    TimePoint confirmed_at{};
    // Links between the source and the store: 0 if it reads the store itself.
    std::uint32_t hops = 0;
  };
  struct Left {
    std::string peer;
    // "silent", "empty", "behind", "stale", "indirect", "lost", "refused",
    // "unread", "unlisted", "not_preferred".
    std::string_view reason;
  };
  struct Decision {
    std::string peer;          // Whose link to keep open; empty for none.
    bool calls_store = false;  // Call the store now.
    TimePoint until{};         // Decide again by then if the store is not.
    std::optional<Left> left;  // The source that this decision leaves.
  };

  explicit ContentsSource(Options options)
      : options_(options), random_(options.random_seed) {}

  Decision Decide(TimePoint now, const State& state);

  // The link to the source is open.
  void OnLinkOpened(TimePoint now) { opened_at_ = now; }
  // Whether contents may be taken from a source with `hops` links to the store.
  // Others must not be put in force: two daemons that follow each other would
  // raise each other's number until all their followers leave.
  bool AcceptsHops(std::uint32_t hops, const State& state) const;
  // The source sent a message.
  void OnMessage(const Message& message, TimePoint now);
  // The link to the source failed or was closed; "refused" if by this daemon,
  // because of a message that it does not accept.
  void OnLinkLost(std::string_view reason) { lost_reason_ = reason; }
  // A peer reports when the store last confirmed its contents.
  void OnPeerReport(const std::string& peer, TimePoint confirmed_at);
  // The outcome of a call to the store.
  void OnStoreAnswered();
  void OnStoreFailed(TimePoint now, const State& state);

  // Whether the source provides the contents now, as of the last decision.
  bool is_following() const { return is_following_; }
  // The source; empty if there is none.
  const std::string& peer() const { return peer_; }

 private:
  // Time without a message after which a source is silent.
  static constexpr Duration kSilence = std::chrono::milliseconds(1'000);
  // Time for opening a link, and for the first message over it.
  static constexpr Duration kOpening = std::chrono::milliseconds(150);
  static constexpr Duration kFirstMessage = std::chrono::milliseconds(300);
  // Time for which a source may be without contents: it has just started.
  static constexpr Duration kFirstContents = std::chrono::milliseconds(600);
  // Time for which a source that was left is not asked again.
  static constexpr Duration kAvoidFor = std::chrono::milliseconds(3'000);
  // Time after which a source is left for one that is preferred, which was
  // avoided or unknown before: the preferred ones are in this data centre.
  static constexpr Duration kReturnAfter = std::chrono::seconds(10);
  // Sources that are tried before the store is asked.
  static constexpr int kSourcesBeforeStore = 2;
  // A peer whose confirmation is later by more than this is preferred while
  // the store fails.
  static constexpr Duration kFresherBy = std::chrono::milliseconds(1'000);
  // Time for which a source is kept that is no longer listed: lists change
  // several times while a fleet starts.
  static constexpr Duration kKeepUnlisted = std::chrono::milliseconds(1'500);
  // The same for a daemon that the store refuses.
  static constexpr Duration kKeepUnlistedLost = std::chrono::seconds(10);
  // A source must read the store itself, or daemons would follow one another
  // in a circle. Before the sentinels are known, and for a daemon that the
  // store refuses, other sources do; in a circle the number grows.
  static constexpr std::uint32_t kMaxHops = 4;
  // Time for which a sentinel that has lost the store goes on asking it before
  // it follows another one. Its followers leave it when it does, and most
  // losses are reset connections, after which the next call succeeds.
  static constexpr Duration kFollowsAfter = std::chrono::milliseconds(1'000);
  // Delay after a failed call to the store, doubled up to a maximum. Sentinels,
  // and daemons that have no contents yet, must notice its return soon.
  static constexpr Duration kInitialRetry = std::chrono::milliseconds(150);
  static constexpr Duration kMaxUrgentRetry = std::chrono::milliseconds(900);
  static constexpr Duration kMaxRetry = std::chrono::milliseconds(5'000);
  // Time between decisions while there is no fit source.
  static constexpr Duration kStep = std::chrono::milliseconds(25);

  // Why the source must be left; empty if it need not be.
  std::string_view Unfitness(TimePoint now, const State& state);
  std::string_view UnlistedOrBehind(TimePoint now, const State& state);
  std::string ChoosePeer(TimePoint now, const State& state) const;
  void SetPeer(std::string peer, TimePoint now);
  bool IsStale(TimePoint now) const;
  // Whether the freshest peer known by gossip may be used.
  bool HasFresherPeer(TimePoint now) const;
  bool MayCallStore(const State& state) const;
  bool IsFit(TimePoint now, const State& state) const;
  TimePoint NextDecision(TimePoint now) const;

  Options options_;
  std::string peer_;
  TimePoint chosen_at_{};
  std::optional<TimePoint> opened_at_;  // The link to the source.
  std::optional<TimePoint> heard_at_;   // The source's latest message.
  Message latest_;                      // Of the source.
  // Since when its messages could not be put in force.
  std::optional<TimePoint> unusable_since_;
  std::optional<TimePoint> behind_since_;
  std::optional<TimePoint> unlisted_since_;
  std::string_view lost_reason_;
  std::map<std::string, TimePoint> avoided_until_;
  int left_ = 0;  // Sources left since the last fit one.
  bool is_following_ = false;
  bool is_store_lost_ = false;
  TimePoint store_lost_at_{};  // If it is lost.
  Duration retry_delay_ = kInitialRetry;
  TimePoint store_retry_at_{};
  std::string freshest_peer_;
  TimePoint freshest_confirmed_at_{};
  std::mt19937 random_;
};

// Returns `seeds` without `self` in an order that all daemons share.
std::vector<std::string> RankSeeds(const std::string& self,
                                   std::span<const std::string> seeds);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_CONTENTS_SOURCE_H_
