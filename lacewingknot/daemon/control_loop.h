// The control thread: its controllers, the watches and the tick.
//
// Not thread-safe except where said: every function runs on the io_context's
// thread.

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
    std::string platform;
    std::string peer_listen;
    Clock clock;
    // Called on the control thread.
    std::function<void(const std::string& upstream, const WarmthClaim& claim)>
        on_claim;
  };

  ControlLoop(boost::asio::io_context& io, Blackboard& board, Metrics& metrics,
              PeerChannel& channel, Options options);

  void Start();

  // A decoded message of a control kind.
  void OnMessage(const PeerEnvelope& envelope);

  // Goes not ready for good.
  void BeginDrain();

  // State for operators, as JSON.
  std::string StatusJson() const;

 private:
  void Tick();
  void SetReady(bool ready);
  bool ShouldBeReady(TimePoint now) const;
  void OnPlatformRead(bool answered);
  std::unique_ptr<DocumentWatch> MakeSettingsWatch();
  std::unique_ptr<DocumentWatch> MakeListWatch();
  Duration WatchWaitNow() const;
  Result<std::uint64_t> Request(const VmEntry& peer, PeerMessageKind kind,
                                std::string body);
  void Reply(const PeerEnvelope& request, PeerMessageKind kind,
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
  std::unique_ptr<DocumentWatch> list_watch_;
  boost::asio::steady_timer tick_timer_;
  TimePoint started_at_;
  TimePoint last_tick_at_;
  std::optional<TimePoint> listed_at_;  // A list was first in force.
  std::uint64_t last_correlation_ = 0;
  bool platform_answers_ = true;
  bool ready_ = false;
  bool draining_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_CONTROL_LOOP_H_
