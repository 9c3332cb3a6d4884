// Exchanges views with peers and derives this daemon's permit from them.
//
// A view is what a daemon holds: its settings, its VM list and the times at
// which they were confirmed. In every gossip interval the daemon sends exchange
// requests to a few of its peers in turn. The replies
//  - name newer settings and lists, which are then fetched from that peer;
//  - confirm that the daemon's own view is current, which extends its permit;
//  - report the instances and warm-up levels of upstreams that the daemon asked
//    about.
//
// Load pattern: every daemon sends to the same small number of peers however
// large the fleet is, so that the load of one daemon does not grow with it.
//
// Errors: a request that cannot be sent, or has no reply in time, counts as an
// unanswered exchange.
//
// The controller writes the `permit` section of the blackboard. Not
// thread-safe: used on the control thread only.
//
// Example:
//   PeerController peers(board, settings, vm_list,
//                        {.vm = "vm-1", .clock = clock, .send = ...,
//                         .on_warmup_report = ..., .on_exchange_peers = ...});
//   peers.OnTick();  // Every 100 ms or so.

#ifndef LACEWINGKNOT_CONTROL_PEER_CONTROLLER_H_
#define LACEWINGKNOT_CONTROL_PEER_CONTROLLER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lacewingknot/blackboard/blackboard.h"
#include "lacewingknot/control/settings_controller.h"
#include "lacewingknot/control/vm_list_controller.h"
#include "lacewingknot/peer/message.h"
#include "lacewingknot/policy/work_permit.h"

namespace lacewingknot {

inline constexpr std::size_t kMaxExchangePeers = 32;

// Returns the exchange peers of `self`: every other daemon of a small fleet; of
// a large one the kMaxExchangePeers that rendezvous hashing selects. The
// resulting graph of exchanges is random, stays the same while the list does,
// and gives every daemon the same number of peers to send to. The entries point
// into `list`.
std::vector<const VmEntry*> SelectExchangePeers(const VmList& list,
                                                std::string_view self);

class PeerController {
 public:
  struct Options {
    std::string vm;  // Id of this daemon's VM.
    Clock clock;
    // Sends a request and returns its correlation id, or why it was not sent.
    std::function<Result<std::uint64_t>(const VmEntry& peer,
                                        PeerMessageKind kind, std::string body)>
        send;
    // Receives each report of a peer about an upstream's warm-up state.
    std::function<void(const std::string& upstream, const WarmupReport& report)>
        on_warmup_report;
    // Receives the addresses of the exchange peers when they change, so that
    // connections to them are kept open.
    std::function<void(const std::vector<std::string>& addresses)>
        on_exchange_peers;
  };

  PeerController(Blackboard& board, SettingsController& settings,
                 VmListController& vm_list, Options options);

  // Starts the exchanges that are due, fails the requests without a reply and
  // renews the permit. Must be called several times in a gossip interval.
  void OnTick();

  // Returns the reply to a request of a peer.
  ExchangeReply AnswerExchange(const ExchangeRequest& request);
  DocumentReply AnswerDocument(const DocumentRequest& request) const;

  // Handle a peer's reply to a request of this daemon. `correlation` is what
  // `send` returned; replies to unknown or expired requests are ignored.
  void OnExchangeReply(std::uint64_t correlation, const ExchangeReply& reply);
  void OnDocumentReply(std::uint64_t correlation, const DocumentReply& reply);

  // Returns whether every exchange peer, or enough of them, has been tried and
  // no document is still being fetched. Until then a new daemon is not ready,
  // so that it does not start with an older view than its peers hold.
  bool HasTriedPeers() const;

  // Summarises the view of this daemon, for peers.
  ViewDigest Digest() const;

  // End of the current permit.
  TimePoint permit_until() const { return permit_.valid_until(); }

 private:
  // A request without a reply yet: an exchange, or the fetch of `document`.
  struct PendingRequest {
    std::string peer;
    std::string peer_address;
    TimePoint sent_at;
    bool is_exchange;
    std::string document;
  };

  void BeginExchanges(TimePoint now);
  void SendExchange(const VmEntry& peer, TimePoint now);
  std::vector<std::string> NextWantedUpstreams();
  void ExpirePending(TimePoint now);
  void FetchDocument(const PendingRequest& from, const std::string& document);
  void ApplyPeerView(const PendingRequest& from, const ViewDigest& view);
  void PublishPermit(TimePoint now);
  void RefreshExchangePeers();

  Blackboard& board_;
  SettingsController& settings_;
  VmListController& vm_list_;
  Options options_;
  WorkPermit permit_;
  VmListPtr selected_from_;  // The list that exchange_peers_ points into.
  std::vector<const VmEntry*> exchange_peers_;
  std::size_t next_peer_ = 0;
  std::size_t next_wanted_ = 0;
  std::set<std::string> tried_peers_;
  TimePoint next_exchange_at_{};
  std::map<std::uint64_t, PendingRequest> pending_;
  // Exchange peers that hold the list's revision in force, with the time at
  // which the confirmed request was sent.
  std::map<std::string, TimePoint> list_confirmed_at_;
  std::uint64_t highest_settings_revision_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_CONTROL_PEER_CONTROLLER_H_
