// Accepts clients, and lets them go when the daemon stops.
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

#include "lacewingknot/base/error.h"
#include "lacewingknot/edge/client_connection.h"
#include "lacewingknot/edge/edge_core.h"

namespace lacewingknot::edge {

class EdgeServer {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    std::string listen;  // IP:PORT.
    // From the stop signal until the process is killed.
    Duration stop_grace{};
  };

  explicit EdgeServer(Options options);

  Result<void> Listen();

  // Stops gracefully: goes on serving until the balancer has noticed, closes
  // idle connections, waits for the last answers and calls `done` once.
  void Drain(std::function<void()> done);

  // The port that it listens on.
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  // The balancer asks once a second and needs two misses to turn away.
  static constexpr Duration kBalancerNotice = std::chrono::milliseconds(3'300);
  // Left for the end of the process.
  static constexpr Duration kExitMargin = std::chrono::milliseconds(500);
  static constexpr Duration kDrainStep = std::chrono::milliseconds(100);

  void Accept();
  void DrainStep();

  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>>
      connections_;
  bool draining_ = false;
  TimePoint drain_started_{};
  std::function<void()> drained_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_EDGE_SERVER_H_
