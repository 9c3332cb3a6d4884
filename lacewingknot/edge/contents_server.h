// Passes the contents of the store on to followers (edge/contents_client.h).
//
// The server keeps what is in force and no history. A follower that has the
// same contents, by their digest, is told so; any other one gets a snapshot.
// Then it gets each change, and a confirmation at least every half second, so
// that it notices a dead source soon.
//
// Load pattern: after the whole fleet has started, hundreds of followers ask
// one daemon at once. A snapshot's items are encoded once for all.
//
// Errors: Start() returns an error if the address cannot be bound. A malformed
// request, a request beyond kMaxFollowers and a follower that does not read
// cost that follower's link.
//
// Publish() and Stop() are thread-safe; everything else runs on the thread of
// the io_context.
//
// Example:
//   ContentsServer server(io, {.gossip_address = "10.1.0.9:7380"});
//   if (auto started = server.Start(); !started) return started.error();
//   server.Publish({.is_snapshot = true, .items = ..., .report = report});

#ifndef LACEWINGKNOT_EDGE_CONTENTS_SERVER_H_
#define LACEWINGKNOT_EDGE_CONTENTS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/edge/contents_messages.h"
#include "lacewingknot/policy/store_state.h"
#include "lacewingknot/policy/store_version.h"

namespace lacewingknot::edge {

namespace internal {
class ContentsLink;
}

// What a daemon has in force, or a change of it.
struct ContentsUpdate {
  // The items replace all others; otherwise they are changes.
  bool is_snapshot = false;
  std::vector<ContentsItem> items;  // Their ages are of the time read_at.
  TimePoint read_at{};
  StoreReport report;
  std::uint64_t epoch = 0;
  std::uint64_t store_revision = 0;
  std::uint64_t last_page_revision = 0;
  // Since when the store has failed this daemon.
  std::optional<TimePoint> lost_since;
  Duration pause{};
  std::uint32_t hops = 0;
};

class ContentsServer {
 public:
  struct Options {
    std::string gossip_address;  // IP:PORT; listens on the next higher port.
    // Counts a message that was sent: "snapshot", "changes" (also those that a
    // follower has missed) or "confirmation".
    std::function<void(std::string_view kind)> on_sent = [](std::string_view) {
    };
  };

  ContentsServer(boost::asio::io_context& io, Options options);

  Result<void> Start();
  // Records what is in force and tells the followers.
  void Publish(ContentsUpdate update);
  // Ends all links, so that the followers go on to other daemons.
  void Stop();

 private:
  using LinkPtr = std::shared_ptr<internal::ContentsLink>;
  using FramePtr = std::shared_ptr<const std::string>;

  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool refused = false;
    TimePoint read_at{};
  };
  struct Follower {
    LinkPtr link;
    bool has_asked = false;
    // Has the contents and gets changes.
    bool is_in_step = false;
  };

  // More than daemons of a fleet that start together.
  static constexpr std::size_t kMaxFollowers = 600;
  // Deletions that are remembered for followers that resume.
  static constexpr std::size_t kMaxDeletions = 4'096;
  static constexpr Duration kConfirmationInterval =
      std::chrono::milliseconds(500);

  void Accept();
  void OnRequest(Follower& follower, const ContentsMessage& request);
  void Apply(ContentsUpdate update);
  // Records `update` as what is in force.
  void Adopt(ContentsUpdate update);
  // Remembers the items that `update`, a snapshot, lacks as deleted. Otherwise
  // followers could not resume after the source has read everything again.
  void RememberMissing(const ContentsUpdate& update);
  void RememberDeletion(const std::string& key, std::uint64_t revision);
  // A message without items about what is in force.
  ContentsMessage MakeMessage(ContentsKind kind, TimePoint now) const;
  // Changes since the contents of version `base`; null if they are not all
  // known, or too many for a snapshot to be larger.
  FramePtr MakeMissedChanges(const StoreVersion& base, TimePoint now) const;
  static ContentsItem MakeItem(const std::string& key, const Item& item,
                               TimePoint now);
  // The frame of a snapshot; null if it would be too large.
  FramePtr MakeSnapshot(TimePoint now);
  void SendSnapshots(TimePoint now);
  void SendToFollowers(const FramePtr& frame, std::string_view kind);
  void ScheduleConfirmation();

  Options options_;
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::unordered_map<std::uint64_t, Follower> followers_;
  std::uint64_t next_follower_ = 0;
  bool has_contents_ = false;
  std::map<std::string, Item> items_;
  // Revisions of the deletions after `deletions_since_`.
  std::map<std::string, std::uint64_t> deletions_;
  std::uint64_t deletions_since_ = 0;
  ContentsUpdate latest_;  // Without its items.
  // The encoded items of a snapshot, and when they were encoded; empty if they
  // have changed since.
  std::string encoded_items_;
  TimePoint encoded_at_{};
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CONTENTS_SERVER_H_
