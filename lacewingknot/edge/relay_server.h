// Accepts other daemons that ask shards through this one.
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

  Result<void> Listen();
  // Tells the others to ask no more. What they asked for goes on.
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
