// A small HTTP server for the balancer, other daemons, operators and
// Prometheus. It answers GET requests from a table of paths.
//
// Runs on one io_context's thread; handlers are called there.

#ifndef LACEWINGKNOT_EDGE_CONTROL_SERVER_H_
#define LACEWINGKNOT_EDGE_CONTROL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"

namespace lacewingknot::edge {

struct ControlReply {
  unsigned status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

// Gets the query behind the path, without the question mark.
using ControlHandler = std::function<ControlReply(std::string_view query)>;

class ControlServer {
 public:
  explicit ControlServer(boost::asio::io_context& io) : io_(io) {}

  void Handle(std::string path, ControlHandler handler);

  // Starts to accept on `address`; may be called for several.
  Result<void> Listen(const std::string& address);

 private:
  class Session;

  void Accept(boost::asio::ip::tcp::acceptor& acceptor);
  ControlReply Reply(std::string_view method, std::string_view target) const;

  boost::asio::io_context& io_;
  std::map<std::string, ControlHandler, std::less<>> handlers_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CONTROL_SERVER_H_
