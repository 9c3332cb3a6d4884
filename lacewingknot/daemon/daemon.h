// The query daemon (lacewingknotd without --edge): its threads, start and
// graceful stop.
//
// One thread runs the control loop, one runs the traffic core, and cpprestsdk's
// threads serve HTTP. The threads share state only through the blackboard and
// the metrics, and post work to each other's io_context.
//
// A graceful stop takes these steps:
//   1. The daemon reports not ready.
//   2. It still accepts requests for `DaemonSettings::drain_notice`, so that
//      the load balancer can notice.
//   3. It refuses new requests.
//   4. It waits for the requests in progress, at most the longest accepted
//      deadline (60 s), and stops the HTTP server.
//
// Not thread-safe.
//
// Example:
//   Daemon daemon(settings);
//   if (auto started = daemon.Start(); !started) return started.error();
//   WaitForSignal();
//   daemon.Drain();

#ifndef LACEWINGKNOT_DAEMON_DAEMON_H_
#define LACEWINGKNOT_DAEMON_DAEMON_H_

#include <memory>

#include "lacewingknot/base/error.h"
#include "lacewingknot/daemon/daemon_settings.h"

namespace lacewingknot {

class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();

  // Listens on both addresses and starts the threads. Returns the error of the
  // peer channel or of the HTTP server if either cannot listen.
  Result<void> Start();

  // Stops gracefully; blocks until the requests in progress have been answered
  // or their longest deadline has passed. Call once, after a successful Start.
  void Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_DAEMON_H_
