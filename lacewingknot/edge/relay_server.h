// Accepts connections of entry daemons that query shards through this daemon as
// a relay, and owns one RelaySession for each.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_RELAY_SERVER_H_
#define LACEWINGKNOT_EDGE_RELAY_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "lacewingknot/base/error.h"
#include "lacewingknot/edge/relay_session.h"

namespace lacewingknot::edge {

class RelayServer {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    std::string listen;  // IP:PORT.
  };

  explicit RelayServer(Options options);

  // Starts accepting. Returns an error if it cannot listen on the address.
  Result<void> Listen();
  // Requests that entry daemons delegate no further attempts to this one.
  // Attempts delegated before continue.
  void AnnounceStop();
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void Accept();

  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<RelaySession*, std::shared_ptr<RelaySession>> sessions_;
  bool stopping_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_SERVER_H_
