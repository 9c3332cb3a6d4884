// The control plane of a daemon: watches the platform's settings and VM list,
// exchanges state with peers, and decides whether the daemon is ready.
//
// A watch reads each document from the platform; a periodic tick starts the
// exchanges, renews the permit and updates readiness. Results are published on
// the blackboard, which the traffic thread reads.
//
// Not thread-safe: every function runs on the io_context's thread.
//
// Example:
//   ControlLoop control_loop(io, board, metrics, channel, options);
//   control_loop.Start();
//   io.run();

#ifndef LACEWINGKNOT_DAEMON_CONTROL_LOOP_H_
#define LACEWINGKNOT_DAEMON_CONTROL_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "lacewingknot/control/peer_controller.h"
#include "lacewingknot/control/settings_controller.h"
#include "lacewingknot/control/vm_list_controller.h"
#include "lacewingknot/documents/documents.h"
#include "lacewingknot/peer/channel.h"

namespace lacewingknot {

class ControlLoop {
 public:
  struct Options {
    std::string vm;
    std::string platform;  // "IP:PORT" of the platform's configuration service.
    std::string peer_listen;  // "IP:PORT" that peers reply to.
    Clock clock;
    // Receives peers' warm-up reports; called on the control thread.
    std::function<void(const std::string& upstream, const WarmupReport& report)>
        on_warmup_report;
  };

  ControlLoop(boost::asio::io_context& io, Blackboard& board, Metrics& metrics,
              PeerChannel& channel, Options options);

  // Starts the watches and the tick.
  void Start();

  // Handles an exchange or document message; ignores other kinds.
  void OnMessage(const PeerEnvelope& envelope);

  // Makes the daemon not ready for the rest of its life.
  void BeginDrain();

  // JSON body of the operators' /v1/status.
  std::string StatusJson() const;

 private:
  void Tick();
  void SetReady(bool ready);
  bool IsReadyForTraffic(TimePoint now) const;
  void OnPlatformRead(bool answered);
  std::unique_ptr<DocumentWatch> MakeSettingsWatch();
  std::unique_ptr<DocumentWatch> MakeVmListWatch();
  Duration CurrentWatchWait() const;
  // Returns the request's correlation number.
  Result<std::uint64_t> SendRequest(const VmEntry& peer, PeerMessageKind kind,
                                    std::string body);
  void SendReply(const PeerEnvelope& request, PeerMessageKind kind,
                 std::string body);

  boost::asio::io_context& io_;
  Blackboard& board_;
  Metrics& metrics_;
  PeerChannel& channel_;
  Options options_;
  SettingsController settings_;
  VmListController vm_list_;
  PeerController peers_;
  std::unique_ptr<DocumentWatch> settings_watch_;
  std::unique_ptr<DocumentWatch> vm_list_watch_;
  boost::asio::steady_timer tick_timer_;
  TimePoint started_at_;
  TimePoint last_tick_at_;
  // When the first tick with a VM list in force ran.
  std::optional<TimePoint> first_vm_list_at_;
  std::uint64_t last_correlation_ = 0;
  bool is_platform_answering_ = true;
  bool is_ready_ = false;
  bool is_draining_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_CONTROL_LOOP_H_
