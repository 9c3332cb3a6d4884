// Sends and receives the membership datagrams of this daemon
// (policy/membership.h). Each datagram also carries the revision of the
// configuration store that its sender has seen, and when the store confirmed
// it. In each round the daemon also asks a sentinel (policy/watch_schedule.h).
// Sentinels also tell the store's epoch (policy/store_version.h) and what it
// holds (policy/store_state.h). The others do so while a peer that reports
// other contents has read the store earlier than they have, and tell the epoch
// for some time after it has risen: this bounds the traffic of a large fleet.
//
// Nothing depends on a single datagram: losing one delays an update by one
// round. A daemon that receives a later revision than its own reads the store
// again, even if its own watch on the store is stuck.
//
// Errors: Start() returns an error if the address cannot be bound. Malformed
// datagrams are logged and dropped.
//
// Not thread-safe except where noted: runs on the thread of its io_context, and
// calls the callbacks there.
//
// Example:
//   PeerGossip gossip(
//       io, {.listen = "10.1.0.9:7380",
//            .seed_addresses = {"10.2.0.9:7380"},
//            .on_fleet_size = [](std::size_t size) { Divide(size); },
//            .on_store_report = [](const StoreReport& report) { ... }});
//   if (auto started = gossip.Start(); !started) return started.error();
//   gossip.SetStoreConfirmed({.revision = 412, .confirmed_at = now});

#ifndef LACEWINGKNOT_EDGE_PEER_GOSSIP_H_
#define LACEWINGKNOT_EDGE_PEER_GOSSIP_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/edge/gossip_messages.h"
#include "lacewingknot/policy/contents_source.h"
#include "lacewingknot/policy/demand_shares.h"
#include "lacewingknot/policy/membership.h"
#include "lacewingknot/policy/statement_table.h"
#include "lacewingknot/policy/team_quota.h"
#include "lacewingknot/policy/watch_schedule.h"

namespace lacewingknot::edge {

class PeerGossip {
 public:
  struct Options {
    std::string listen;              // IP:PORT, the same port on every VM.
    std::vector<std::string> seeds;  // Gossip IP:PORT of some daemons.
    std::uint64_t incarnation = 0;   // Increases with each process start.
    std::uint64_t random_seed = 0;
    std::string data_centre;
    double processor_share = 1;  // In processors.
    std::function<void(std::size_t size)> on_fleet_size;
    // Called when the set of live members has changed; at most once per round.
    std::function<void(std::span<const Member> members)> on_members;
    // Called with what a peer reports of the store.
    std::function<void(const StoreReport& report)> on_store_report;
    // Called with when the store confirmed the contents of daemon `from`.
    std::function<void(const std::string& from, TimePoint confirmed_at)>
        on_store_confirmed_at;
    // Called with what daemon `from` reports that upstreams say.
    std::function<void(std::vector<StatementReport> reports, std::string from)>
        on_statements;
    // Called with the answers of keepers to SendDemands().
    std::function<void(std::vector<DemandSum> sums)> on_demand_sums;
    // What quotas of teams tolerate; empty: none are enforced.
    std::optional<QuotaBounds> quota_bounds;
    // Called with what keepers answer to SendQuotaMessages().
    std::function<void(std::string from, std::vector<QuotaMessage> messages)>
        on_quota_messages;
    // Called with the daemons among which the keepers of quotas are: first the
    // seeds, then the members.
    std::function<void(std::vector<Member> members, bool is_whole_fleet)>
        on_quota_members;
    // Called when this daemon has taken over the bucket of `team` from a keeper
    // that did not answer.
    std::function<void(const std::string& team)> on_quota_takeover;
    // Called when this daemon may, or may no longer, grant tokens.
    std::function<void(bool may_grant)> on_quota_contact;
    // Called when a datagram about quotas was dropped, because too many were
    // sent.
    std::function<void()> on_quota_message_dropped;
    // Called when daemon `address` has just started and should be told what
    // upstreams have said, by SendStatements().
    std::function<void(std::string address)> on_statements_wanted;
  };

  PeerGossip(boost::asio::io_context& io, Options options);

  Result<void> Start();

  // Notifies some peers that this daemon stops. Thread-safe.
  void AnnounceStop();

  // The store has answered this daemon; further datagrams report it.
  // Thread-safe.
  void SetStoreConfirmed(const StoreReport& report);
  // The report that datagrams carry at present. Thread-safe.
  StoreReport LatestStoreReport() const;
  // Tells a few daemons, chosen at random, what upstreams say. They pass on
  // what is news to them. Control thread only, like SendStatements().
  void SpreadStatements(std::span<const StatementReport> reports);
  // Tells daemon `address`; the first kMaxStatements reports count. Returns the
  // number of bytes sent.
  std::size_t SendStatements(const std::string& address,
                             std::span<const StatementReport> reports);
  // Reports this daemon's demand to the keepers of the upstreams
  // (policy/demand_shares.h). Control thread only.
  void SendDemands(std::span<const DemandReport> reports);
  // The daemons that this one may get the store's contents from. Thread-safe.
  ContentsPeers contents_peers() const;
  // Sentinels are asked about the store more rarely from now on, because one
  // passes its contents on to this daemon. Thread-safe.
  void set_follows_source(bool follows) { follows_source_ = follows; }
  // Sets the quotas of teams, for those whose keeper this daemon is. Control
  // thread only, like the next.
  void SetQuotas(QuotaTable quotas);
  // Sends asks for tokens; those to this daemon are answered by itself.
  void SendQuotaMessages(std::span<const OutgoingQuotaMessage> messages);
  // Whether other daemons ask this one about the store. Thread-safe.
  bool is_sentinel() const { return is_sentinel_; }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 4'096;
  // Age of the latest report from which on a second sentinel is asked.
  static constexpr Duration kReportOverdue = std::chrono::milliseconds(2'000);
  // Rounds between questions to a sentinel while a source passes contents on.
  // Its messages tell more, but only datagrams compare a follower's contents
  // with those of another sentinel.
  static constexpr int kRoundsBetweenPings = 3;
  // How long a daemon tells its state after a peer was found to be outdated.
  static constexpr Duration kTellStateFor = std::chrono::seconds(5);

  // Daemons that are told of a statement by each daemon to which it is news:
  // with so many, all but one in fifty learn it in the first wave.
  static constexpr std::size_t kStatementFanout = 4;
  // Statements are sent together that become known within this time.
  static constexpr Duration kSpreadDelay = std::chrono::milliseconds(30);
  // Bound of the traffic that statements cause.
  static constexpr double kMaxSpreadBytesPerSecond = 4'000;
  // Statements that wait to be sent at most; the oldest ones are dropped.
  static constexpr std::size_t kMaxPendingStatements = 192;

  // Bound of the traffic that quotas cause, with contact probes and their
  // answers, in bytes with UDP and IP headers,
  // and the part of the bytes saved up that asks leave to answers.
  static constexpr double kMaxQuotaBytesPerSecond = 5'500;
  static constexpr double kQuotaBurstSeconds = 2;
  static constexpr double kMaxQuotaBytes =
      kMaxQuotaBytesPerSecond * kQuotaBurstSeconds;
  static constexpr double kQuotaReservedForAnswers = 0.5;
  static constexpr std::size_t kUdpAndIpHeaderBytes = 28;
  static constexpr Duration kContactCheckInterval =
      std::chrono::milliseconds(75);

  void RunRound();
  void ReportQuotaMembers(TimePoint now);
  bool has_other_seeds() const;
  // Keeps in contact with the data centres, and checks whether this daemon may
  // grant tokens.
  void CheckContact();
  void UpdateMayGrant(TimePoint now);
  void OnQuotaMessages(const std::string& from,
                       std::span<const QuotaMessage> messages);
  // Sends messages that count towards the bound of quotas, whatever is left.
  void SendCounted(std::span<const OutgoingMemberMessage> messages);
  // Adds what was saved up since the last call.
  void SaveQuotaBytes(TimePoint now);
  void SendQuotaDatagram(const std::string& to,
                         std::vector<QuotaMessage> messages);
  void SendPendingStatements();
  // Returns the answers to reports of `daemon`.
  std::vector<DemandSum> RecordDemands(std::string_view daemon,
                                       std::span<const DemandReport> reports);
  // Returns the number of bytes sent.
  std::size_t SendDatagram(const std::string& address,
                           const GossipMessage& message);
  void Receive();
  void OnDatagram(std::size_t bytes);
  // Returns the bytes that were sent, with UDP and IP headers.
  std::size_t Send(std::span<const OutgoingMemberMessage> messages);
  void ReportFleetSize();
  void ReportMembers();
  void PingSentinels(TimePoint now);
  void UpdateContentsPeers(TimePoint now);
  // Tells `peer` this daemon's contents of the store if its report shows that
  // it may be outdated.
  void TellIfOutdated(const StoreReport& report, const std::string& peer,
                      TimePoint now);
  // What a datagram tells of the store's contents.
  StoreState StateToTell(const StoreReport& report, TimePoint now) const;
  // A message of this daemon to `address` that carries something else.
  GossipMessage MakeCarrier(const std::string& address);
  // The epoch that a datagram tells; 0 for none.
  std::uint64_t EpochToTell(const StoreReport& report, TimePoint now) const;

  Options options_;
  boost::asio::io_context& io_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer spread_timer_;
  boost::asio::ip::udp::endpoint sender_endpoint_;
  std::array<char, kMaxDatagramBytes> receive_buffer_{};
  Membership membership_;
  std::size_t reported_size_ = 0;
  std::vector<std::string> reported_addresses_;
  std::vector<Member> alive_;
  DemandKeeper demand_keeper_;
  std::uint64_t reported_version_ = 0;
  TeamQuotaKeeper quota_keeper_;
  FleetContact contact_;
  bool has_quotas_ = false;
  bool may_grant_ = true;
  std::uint64_t quota_version_ = 0;
  double quota_bytes_left_ = kMaxQuotaBytes;
  TimePoint quota_bytes_at_{};
  boost::asio::steady_timer contact_timer_;
  // Sentinels that this daemon asks, in order of preference.
  std::vector<std::string> sentinels_;
  std::atomic<bool> is_sentinel_ = false;
  std::atomic<bool> follows_source_ = false;
  int rounds_ = 0;
  TimePoint last_report_confirmed_at_{};  // Latest of all peers' reports.
  TimePoint tells_state_until_{};
  struct PendingStatement {
    StatementReport report;
    TimePoint known_at{};
  };
  std::vector<PendingStatement> pending_statements_;
  bool has_pending_spread_ = false;
  TimePoint next_spread_at_{};
  std::mt19937 random_;
  mutable std::mutex store_report_mutex_;
  // Guarded by store_report_mutex_; its times are zero before the first
  // confirmation.
  StoreReport store_report_;
  // For some time after the epoch has risen. Guarded by the same.
  TimePoint tells_epoch_until_{};
  mutable std::mutex contents_peers_mutex_;
  ContentsPeers contents_peers_;  // Guarded by contents_peers_mutex_.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_PEER_GOSSIP_H_
