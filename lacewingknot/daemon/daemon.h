// One lacewingknotd: its threads, and its life from start to graceful stop.
//
// One thread runs control, one runs traffic, and cpprestsdk's own carry HTTP.
// They meet at the blackboard and by posting to each other's io_context.
//
// A stop goes through these steps: not ready; the drain notice, during which
// work is still taken, so that the balancer can notice; refuse new work; wait
// for the work in progress, at most the longest deadline; end.
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

  Result<void> Start();

  // Stops gracefully; returns when the last answer has been given.
  void Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_DAEMON_DAEMON_H_
