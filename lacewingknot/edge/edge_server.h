// Accepts client connections, and closes them gracefully when the daemon stops.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_EDGE_SERVER_H_
#define LACEWINGKNOT_EDGE_EDGE_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lacewingknot/base/error.h"
#include "lacewingknot/edge/client_connection.h"
#include "lacewingknot/edge/edge_core.h"

namespace lacewingknot::edge {

class EdgeServer {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    std::string listen;  // IP:PORT.
    // Time from the stop signal until the process is killed.
    Duration stop_grace{};
  };

  explicit EdgeServer(Options options);

  Result<void> Listen();

  // Stops gracefully: serves until the balancer has noticed that the daemon is
  // not ready, closes idle connections and waits for the last answers. Requests
  // that are still unanswered kFinalAnswerTime before the end are answered
  // then. Calls `done` once, at the latest kExitMargin before `stop_grace`
  // ends.
  void Drain(std::function<void()> done);

  // The port on which the server listens.
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  // The balancer checks readiness once a second and stops sending requests
  // after two failed checks.
  static constexpr Duration kBalancerNoticePeriod =
      std::chrono::milliseconds(3'300);
  // Part of the grace time that is reserved for the exit of the process.
  static constexpr Duration kExitMargin = std::chrono::milliseconds(500);
  // Time to write the last answers before that.
  static constexpr Duration kFinalAnswerTime = std::chrono::milliseconds(250);
  static constexpr Duration kDrainPollInterval = std::chrono::milliseconds(100);

  void Accept();
  void ContinueDrain();
  // Ends the requests whose keys were withdrawn before they ran.
  void OnKeysWithdrawn();
  std::vector<std::shared_ptr<ClientConnection>> OpenConnections() const;

  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>>
      connections_;
  bool is_draining_ = false;
  TimePoint drain_started_{};
  std::function<void()> on_drained_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EDGE_SERVER_H_
