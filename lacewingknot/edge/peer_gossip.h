// Datagrams between daemons: who is alive, and which revision of the store each
// has seen.
//
// One small datagram a second to one random peer. Nothing depends on a single
// one: a lost datagram delays the news by a round. A daemon that hears of an
// older revision than its own answers at once, so that the sender reads again
// even if its own watch on the store hangs.
//
// Runs on one io_context's thread.

#ifndef LACEWINGKNOT_EDGE_PEER_GOSSIP_H_
#define LACEWINGKNOT_EDGE_PEER_GOSSIP_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/policy/membership.h"

namespace lacewingknot::edge {

struct GossipMessage {
  std::vector<Member> members;  // The sender first.
  std::uint64_t fleet_size = 1;
  std::uint64_t store_revision = 0;
};

std::string EncodeGossip(const GossipMessage& message);
// kPeerProtocol if `bytes` are no message.
Result<GossipMessage> DecodeGossip(std::string_view bytes);

class PeerGossip {
 public:
  struct Options {
    std::string listen;              // IP:PORT, the same port on every VM.
    std::vector<std::string> seeds;  // IP:PORT of gossip of some daemons.
    std::uint64_t incarnation = 0;   // Rises with each start of the process.
    std::uint64_t random_seed = 0;
    std::string data_centre;
    double processor_share = 1;
    std::function<void(std::size_t size)> on_fleet_size;
    // Other members than before were heard of lately; at most once a round.
    std::function<void(std::span<const Member> members)> on_members;
    // A peer has seen this revision of the store.
    std::function<void(std::uint64_t revision)> on_store_revision;
  };

  PeerGossip(boost::asio::io_context& io, Options options);

  Result<void> Start();

  // Tells peers of it from now on. Thread-safe.
  void set_store_revision(std::uint64_t revision) {
    store_revision_ = revision;
  }

 private:
  static constexpr std::chrono::milliseconds kInterval{1'000};
  // While nobody has answered yet.
  static constexpr std::chrono::milliseconds kJoinInterval{250};
  static constexpr std::size_t kSample = 12;
  static constexpr std::size_t kMaxDatagram = 2'048;

  void Tick();
  void Receive();
  void OnDatagram(std::size_t bytes);
  void Send(std::string_view address);
  void NoteSize();
  void NoteMembers();

  Options options_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, kMaxDatagram> buffer_{};
  Membership members_;
  std::mt19937_64 random_;
  std::size_t reported_size_ = 0;
  std::vector<std::string> reported_members_;  // Addresses.
  std::uint64_t ticks_ = 0;
  std::atomic<std::uint64_t> store_revision_ = 0;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_PEER_GOSSIP_H_
