// Group membership by gossip in the manner of SWIM: which daemons are alive,
// and how many daemons share the limits of the upstreams.
//
// Load pattern: hundreds of small daemons that all start within a second, are
// restarted one after another or many at once, and occasionally lose a data
// centre or a link. Datagrams may be lost, and traffic between data centres is
// expensive. Random heartbeat samples, the simple design, do not scale: in a
// fleet of 200 a daemon receives them too rarely, and one in seven live members
// is dropped by chance.
//
// Failure detection: a member counts as alive until it is shown to be gone,
// that is, failed or stopped. In each round, about one a second, a daemon
// probes one other member, mostly in its own data centre. A member that does
// not acknowledge the probe is probed through two other members before it
// counts as gone. A daemon that receives no messages marks no member as gone,
// because it is itself cut off.
//
// Dissemination: membership updates are piggybacked on these messages, each a
// bounded number of times. Two daemons whose member lists differ exchange their
// full lists. A member that learns that it is considered gone refutes this by
// raising its incarnation, and is alive again.
//
// A member that is gone keeps its share of every limit for kGoneShareRetention,
// because it may be cut off and still use that share.
//
// No I/O and no clock: the caller passes the time and sends the returned
// messages. Not thread-safe.
//
// Example:
//   Membership members({.self = {.address = "10.1.0.9:7380"},
//                       .seed_addresses = seeds});
//   SendAll(members.Tick(now));  // After each interval().
//   SendAll(members.OnMessage(received, now));
//   Use(members.AliveMembers(), members.FleetSize(now));

#ifndef LACEWINGKNOT_POLICY_MEMBERSHIP_H_
#define LACEWINGKNOT_POLICY_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot {

struct Member {
  std::string address;
  // Increases with each start of the process, and when the member refutes an
  // update that it is gone.
  std::uint64_t incarnation = 0;
  std::string data_centre;
  double processor_share = 1;  // In processors; may be below 1.
};

// A membership update: the state of one member as the sender knows it.
struct MemberUpdate {
  Member member;
  // How long the member has been gone; empty if it is alive.
  std::optional<std::chrono::seconds> gone_for;
};

enum class MemberMessageKind {
  kProbe,  // Requests a kProbeAck.
  // `target` is alive. With an empty `target`, a plain carrier of updates.
  kProbeAck,
  kIndirectProbe,  // Requests a probe of `target` and its forwarded kProbeAck.
  kListRequest,    // Requests the full member list.
  kList,           // One part of the full member list.
};
inline constexpr std::size_t kMemberMessageKindCount = 5;

struct MemberMessage {
  MemberMessageKind kind = MemberMessageKind::kProbe;
  std::uint64_t probe_number = 0;  // Matches an acknowledgement to its probe.
  std::string target;              // Address of the probed member.
  Member sender;
  std::uint64_t digest = 0;  // Hash of the sender's live members.
  // Membership::knows_fleet_size() of the sender.
  bool knows_fleet_size = false;
  std::vector<MemberUpdate> updates;
};

// A message and its destination.
struct OutgoingMemberMessage {
  std::string to;  // Address.
  MemberMessage message;
};

class Membership {
 public:
  // Time for which a gone member keeps its share of every limit.
  static constexpr Duration kGoneShareRetention = std::chrono::seconds(30);
  // Most updates in one message, so that the message fits in a datagram.
  static constexpr std::size_t kMaxUpdatesPerMessage = 40;
  // Larger than any fleet. Further members are ignored.
  static constexpr std::size_t kMaxMembers = 4'096;

  struct Options {
    Member self;
    // Addresses of members to join through; some may be down or retired.
    std::vector<std::string> seed_addresses;
    std::uint64_t random_seed = 0;
  };

  explicit Membership(Options options);

  // Runs one round: probes a member, checks the unanswered probes, and requests
  // a list if lists differ. Returns the messages to send. Must be called every
  // interval().
  std::vector<OutgoingMemberMessage> Tick(TimePoint now);
  Duration interval() const;
  // Processes a received message. Returns the messages to send in response.
  std::vector<OutgoingMemberMessage> OnMessage(const MemberMessage& message,
                                               TimePoint now);
  // Returns a probe that changes nothing if it is not acknowledged, for what
  // datagrams carry besides membership.
  OutgoingMemberMessage Ping(const std::string& address);
  // Returns a message that asks for nothing, for the same use.
  OutgoingMemberMessage MakeCarrier(const std::string& address);
  // Announces to some members that this daemon stops.
  std::vector<OutgoingMemberMessage> Leave();

  // Members that are alive, ordered by address, including this daemon.
  std::vector<Member> AliveMembers() const;
  // Changes with every change of AliveMembers().
  std::uint64_t version() const { return version_; }
  // Number of daemons that may use a share of a limit: those that are alive and
  // those that have been gone for less than kGoneShareRetention.
  std::size_t FleetSize(TimePoint now) const;
  // Whether FleetSize() covers the whole fleet: a peer's full list has arrived,
  // or the time in which it should have arrived has passed.
  bool knows_fleet_size(TimePoint now) const {
    return has_full_list_ ||
           (joined_at_ && now - *joined_at_ > kStartupListInterval);
  }

 private:
  struct Record {
    Member member;
    std::optional<TimePoint> gone_at;
    int transmissions_left = 0;  // Messages that will still carry its update.
  };
  struct Probe {
    std::uint64_t number = 0;
    std::string address;
    std::uint64_t incarnation = 0;
    TimePoint started{};
    bool indirect_sent = false;
  };
  // A probe sent on behalf of another daemon.
  struct ForwardedProbe {
    std::uint64_t number = 0;
    std::string requester;
    std::uint64_t requester_number = 0;
  };
  enum class UpdateSource { kGossip, kList };

  // Time between two rounds: normally, during the startup period, and before
  // the first message from a peer.
  static constexpr Duration kInterval = std::chrono::milliseconds(1'000);
  static constexpr Duration kStartupInterval = std::chrono::milliseconds(500);
  static constexpr Duration kJoinInterval = std::chrono::milliseconds(250);
  // Startup period: the time after the first message from a peer in which
  // rounds and list requests are more frequent.
  static constexpr Duration kStartupPeriod = std::chrono::seconds(8);
  // Age of an unanswered probe at which indirect probes are sent, and at which
  // the member counts as gone.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(1'000);
  static constexpr Duration kGoneAfter = std::chrono::milliseconds(2'000);
  // Members that receive an indirect probe request for an unresponsive member.
  static constexpr std::size_t kIndirectProbers = 2;
  // One round in this many probes a member in another data centre, and one in
  // this many also probes a gone member, which may only have been cut off.
  static constexpr std::uint64_t kRoundsPerRemoteProbe = 4;
  static constexpr std::uint64_t kRoundsPerGoneProbe = 8;
  // A round that is later than this shows that this process was paused.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(1'000);
  // Time that updates have to reach every member. Lists that still differ after
  // it are exchanged.
  static constexpr Duration kDisseminationTime = std::chrono::seconds(5);
  // Time between two list requests during the startup period, and the range of
  // the random delay between the first message from a peer and the list request
  // to a seed: by then the seeds have learnt of all daemons.
  static constexpr Duration kStartupListInterval =
      std::chrono::milliseconds(2'000);
  static constexpr Duration kMinSeedListDelay =
      std::chrono::milliseconds(1'200);
  static constexpr Duration kMaxSeedListDelay =
      std::chrono::milliseconds(3'000);
  // Local peers that receive the pending updates in each round, and the limit
  // (not applied so far) while the updates exceed one message.
  static constexpr std::size_t kGossipFanout = 2;
  static constexpr std::size_t kMaxGossipFanout = 8;
  // Time for which the record of a gone member is kept: longer than any other
  // member may still have it as alive.
  static constexpr Duration kGoneRetention = std::chrono::seconds(90);
  // Most probes on behalf of other daemons that are tracked at a time.
  static constexpr std::size_t kMaxForwardedProbes = 32;

  static MemberUpdate UpdateFor(const Record& record, TimePoint now);
  MemberMessage NewMessage(MemberMessageKind kind);
  OutgoingMemberMessage MakeOutgoing(std::string to, MemberMessageKind kind,
                                     std::uint64_t number = 0,
                                     std::string about = {});
  OutgoingMemberMessage StartProbe(const std::string& address, TimePoint now);
  std::vector<MemberUpdate> TakePendingUpdates(TimePoint now);
  std::vector<OutgoingMemberMessage> MakeFullList(const std::string& to,
                                                  TimePoint now);
  void ApplyUpdate(const MemberUpdate& update, TimePoint now,
                   UpdateSource source);
  void ApplyOwnUpdate(const MemberUpdate& update);
  void Refute(std::uint64_t incarnation);
  void MarkGone(Record& record, TimePoint gone_at);
  void ScheduleDissemination(Record& record) const;
  void RemoveExpiredGone(TimePoint now);
  std::vector<OutgoingMemberMessage> RequestFirstList();
  void OnJoined(TimePoint now);
  void CompareDigest(const MemberMessage& message);
  void GossipToLocalPeers(std::vector<OutgoingMemberMessage>& outgoing);
  void RequestDifferingList(TimePoint now,
                            std::vector<OutgoingMemberMessage>& outgoing);
  void ForwardAck(const MemberMessage& message,
                  std::vector<OutgoingMemberMessage>& outgoing);
  void SendIndirectProbes(const Probe& probe,
                          std::vector<OutgoingMemberMessage>& outgoing);
  bool IsLocalPeer(const Record& record) const;
  std::vector<std::string> RandomSubset(std::vector<std::string> addresses,
                                        std::size_t count);
  void CheckProbes(TimePoint now, std::vector<OutgoingMemberMessage>& outgoing);
  std::optional<std::string> NextProbeTarget(bool is_local);
  std::optional<std::string> RandomGoneMember();
  std::optional<std::string> RandomSeed();
  template <typename Condition>
  std::vector<std::string> PeerAddressesWhere(Condition condition) const;

  Options options_;
  std::mt19937_64 random_;
  std::map<std::string, Record, std::less<>> records_;  // Keyed by address.
  std::uint64_t digest_ = 0;
  std::uint64_t version_ = 1;
  TimePoint now_{};  // Time passed to the current call.
  std::optional<TimePoint> joined_at_;
  std::optional<TimePoint> last_received_at_;
  std::optional<TimePoint> last_tick_at_;
  // A peer whose digest differs from this daemon's, and since when no received
  // digest has been equal.
  std::optional<std::string> differing_peer_;
  TimePoint differing_since_{};
  TimePoint next_list_request_at_{};  // Earliest time of the next one.
  bool seed_list_requested_ = false;  // Since the first message from a peer.
  bool has_full_list_ = false;        // A peer's full list has been merged.
  std::vector<Probe> probes_;
  std::vector<ForwardedProbe> forwarded_probes_;
  // Members still to probe in the current cycle: in the own data centre, and in
  // all others.
  std::vector<std::string> local_probe_queue_;
  std::vector<std::string> remote_probe_queue_;
  // Small, since it is part of all datagrams; the probes under way are few.
  std::uint16_t last_probe_number_ = 0;
  std::uint64_t round_ = 0;
  bool is_leaving_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_MEMBERSHIP_H_
