// Exchanges with peers, and the permit to work that follows from them.
//
// Every gossip interval the daemon asks a few peers, in turn, what they hold.
// From the replies it learns of newer settings and lists, which it fetches from
// the peer that has them; of confirmations of its own view; and of upstreams'
// instances and levels. Each daemon asks the same small number of peers however
// large the fleet is.
//
// Writes the `permit` section. Not thread-safe: lives on the control thread.

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

// The peers that `self` exchanges with: all of a small fleet; of a large one
// `kMaxNeighbours` chosen by rendezvous hashing, so that the graph of who asks
// whom is random, fixed while the list is, and of the same degree everywhere.
inline constexpr std::size_t kMaxNeighbours = 32;
std::vector<const VmEntry*> Neighbours(const VmList& list,
                                       std::string_view self);

class PeerController {
 public:
  struct Options {
    std::string vm;
    Clock clock;
    // Sends a request and returns its correlation, or why it was not sent.
    std::function<Result<std::uint64_t>(const VmEntry& peer,
                                        PeerMessageKind kind, std::string body)>
        send;
    std::function<void(const std::string& upstream, const WarmthClaim& claim)>
        on_claim;
    // Peers to keep connections to.
    std::function<void(const std::vector<std::string>& addresses)> on_peers;
  };

  PeerController(Blackboard& board, SettingsController& settings,
                 VmListController& vm_list, Options options);

  // Begins the exchanges that are due and renews the permit; call often.
  void OnTick();

  // Answers to requests of peers.
  ExchangeReply AnswerExchange(const ExchangeRequest& request);
  DocumentReply AnswerDocument(const DocumentRequest& request) const;

  // Answers to requests of this daemon.
  void OnExchangeReply(std::uint64_t correlation, const ExchangeReply& reply);
  void OnDocumentReply(std::uint64_t correlation, const DocumentReply& reply);

  // True once every neighbour, or enough of them, has been asked, so that a
  // fresh daemon does not start on less than its peers know.
  bool HasAskedPeers() const;

  ViewDigest Digest() const;

  TimePoint permit_until() const { return permit_.valid_until(); }

 private:
  struct Pending {
    std::string peer;
    std::string peer_address;
    TimePoint sent_at;
    bool exchange;
    std::string document;
  };

  void BeginExchanges(TimePoint now);
  void Exchange(const VmEntry& peer, TimePoint now);
  std::vector<std::string> NextWanted();
  void ExpirePending(TimePoint now);
  void Fetch(const Pending& from, const std::string& document);
  void TakeView(const Pending& from, const ViewDigest& view);
  void PublishPermit(TimePoint now);
  void RefreshNeighbours();

  Blackboard& board_;
  SettingsController& settings_;
  VmListController& vm_list_;
  Options options_;
  WorkPermit permit_;
  VmListPtr neighbours_of_;
  std::vector<const VmEntry*> neighbours_;
  std::size_t next_neighbour_ = 0;
  std::size_t next_wanted_ = 0;
  std::set<std::string> asked_;
  TimePoint next_exchange_at_{};
  std::map<std::uint64_t, Pending> pending_;
  // Members of the list that confirmed its revision, and when they were asked.
  std::map<std::string, TimePoint> list_agreed_at_;
  std::uint64_t highest_settings_revision_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_CONTROL_PEER_CONTROLLER_H_
