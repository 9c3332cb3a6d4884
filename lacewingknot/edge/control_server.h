// An HTTP server for the load balancer, other daemons, operators and
// Prometheus. It dispatches GET requests by their path; other methods get
// status 405 and unknown paths 404.
//
// Not thread-safe: runs on the thread of its io_context and calls the handlers
// there.
//
// Example:
//   ControlServer server(io);
//   server.Handle("/health/live", [](std::string_view) {
//     return ControlReply{.body = "ok\n"};
//   });
//   if (auto bound = server.Listen("10.1.0.9:8106"); !bound) return
//   bound.error();

#ifndef LACEWINGKNOT_EDGE_CONTROL_SERVER_H_
#define LACEWINGKNOT_EDGE_CONTROL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

// Receives the query string of the request without the question mark.
using ControlHandler = std::function<ControlReply(std::string_view query)>;
struct ControlRequest {
  std::string_view query;  // As of ControlHandler.
  // Values of the Authorization headers. They may hold a key of a team: they
  // are neither logged nor repeated in replies.
  std::vector<std::string> credentials;
};
using ControlRequestHandler =
    std::function<ControlReply(const ControlRequest& request)>;

// Returns the decoded value of the parameter `name` in `query`, NAME=VALUE
// pairs separated by '&'; empty if it is missing, empty or malformed.
std::optional<std::string> QueryParameter(std::string_view query,
                                          std::string_view name);

class ControlServer {
 public:
  explicit ControlServer(boost::asio::io_context& io) : io_(io) {}

  // Registers the handler of `path`, replacing an earlier one.
  void Handle(std::string path, ControlHandler handler);
  void HandleRequest(std::string path, ControlRequestHandler handler);

  // Starts accepting connections on `address`, IP:PORT. May be called for
  // several addresses. Returns an error if it cannot listen there.
  Result<void> Listen(const std::string& address);

 private:
  class Session;

  void Accept(boost::asio::ip::tcp::acceptor& acceptor);
  ControlReply Reply(std::string_view method, std::string_view target,
                     std::vector<std::string> credentials) const;

  boost::asio::io_context& io_;
  std::map<std::string, ControlRequestHandler, std::less<>> handlers_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CONTROL_SERVER_H_
