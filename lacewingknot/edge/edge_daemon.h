// The edge role of the daemon: a proxy between clients and many upstreams.
//
// Threads: the traffic thread runs requests. The control thread answers the
// balancer, operators and other daemons. The reader of the configuration store
// runs on a thread of its own and publishes through OnRoutes() and
// OnDirectory(), which may be called from any thread.

#ifndef LACEWINGKNOT_EDGE_EDGE_DAEMON_H_
#define LACEWINGKNOT_EDGE_EDGE_DAEMON_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/blackboard/section.h"
#include "lacewingknot/edge/contents_server.h"
#include "lacewingknot/edge/control_server.h"
#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/edge_server.h"
#include "lacewingknot/edge/edge_settings.h"
#include "lacewingknot/edge/peer_gossip.h"
#include "lacewingknot/edge/relay_server.h"

namespace lacewingknot::edge {

class EdgeDaemon {
 public:
  struct Options {
    EdgeSettings settings;
    const HeaderNames* names = nullptr;
    std::string readiness_path;
    // Called with what a peer reports of the store.
    std::function<void(const StoreReport& report)> on_store_report;
    // Called on the traffic thread when a query is refused because the
    // directory holds too few upstreams.
    std::function<void()> on_upstreams_lacking = [] {};
    // Called with when the store confirmed the contents of daemon `from`.
    std::function<void(const std::string& from, TimePoint confirmed_at)>
        on_store_confirmed_at;
  };

  explicit EdgeDaemon(Options options);

  // Binds the listeners and starts the threads.
  Result<void> Start();

  void OnRoutes(std::shared_ptr<const RoutingTable> table);
  void OnDirectory(std::shared_ptr<const Directory> directory);
  EdgeMetrics& metrics() { return metrics_; }
  // The store has just answered this daemon and holds nothing later than
  // the report's version. Thread-safe, like the next two.
  void SetStoreConfirmed(const StoreReport& report);
  // Whether other daemons ask this one about the store.
  bool is_sentinel() const { return gossip_ && gossip_->is_sentinel(); }
  // Whether contents of the store are passed between daemons.
  bool passes_contents() const;
  // The daemons that this one may get the contents from.
  ContentsPeers contents_peers() const;
  // The contents in force have changed, or were confirmed.
  void PublishContents(ContentsUpdate update);
  // The contents come from a peer now, or no longer.
  void OnContentsFromPeer(bool from_peer);
  // Number of daemons known to be alive, 0 before they are known.
  std::size_t fleet_size() const { return fleet_size_; }

  // Applies the settings that may change while the process runs.
  void Reload(const EdgeSettings& settings);

  // Stops gracefully. Returns when the last answer has been written or the
  // grace time is nearly over.
  void Drain();

 private:
  Result<void> StartGossip();
  void StartContentsServer();
  void OnFleetSize(std::size_t size);
  void OnMembers(std::span<const Member> members);
  bool shares_statements() const;
  void SpreadStatements(std::vector<StatementReport> reports);
  void SendDemands(std::vector<DemandReport> reports);
  // Returns a function that sends asks for tokens; empty without gossip.
  std::function<void(std::vector<OutgoingQuotaMessage>)> MakeQuotaSender();
  // Tells daemon `address`, which has just started, what upstreams have said.
  void SendStatements(const std::string& address);
  bool IsReady() const;
  void UpdateReadiness();
  std::string Status() const;
  ControlReply Explain(std::string_view service);
  ControlReply ExplainRequestOf(const ControlRequest& request);
  // Runs `compute` on the traffic thread; empty if that does not respond in
  // time.
  template <typename Answer>
  std::optional<Answer> AskTrafficThread(std::function<Answer()> compute);
  ControlReply Teams();
  void RunOnTrafficThread(std::function<void()> run);

  Options options_;
  EdgeMetrics metrics_;
  boost::asio::io_context traffic_io_{1};
  boost::asio::io_context control_io_{1};
  EdgeCore core_;
  EdgeServer server_;
  RelayServer relay_server_;
  ControlServer control_;
  std::optional<PeerGossip> gossip_;
  std::optional<ContentsServer> contents_server_;
  std::atomic<std::size_t> fleet_size_ = 1;
  // An upstream has said something of itself since the process started.
  std::atomic<bool> has_statements_ = false;
  // As last passed to the core. Used by the control thread only.
  RelayCandidates candidates_;
  Section<std::shared_ptr<const RoutingTable>> routes_;
  Section<std::shared_ptr<const Directory>> directory_;
  std::atomic<bool> is_draining_ = false;
  std::atomic<bool> was_ready_ = false;
  std::mutex mutex_;
  std::condition_variable drained_cv_;
  bool is_drained_ = false;  // Guarded by mutex_.
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EDGE_DAEMON_H_
