// HTTP client for the platform and for the operator endpoints of daemons,
// implemented with cpprestsdk.
//
// Use it only for idempotent reads and in the command-line tool: cpprestsdk
// repeats a request by itself when a keep-alive connection turns out to be
// closed. Requests to upstreams therefore use net/http_connection.h.
//
// Thread-safe. Callbacks run on the threads of cpprestsdk.
//
// Example:
//   HttpClient client("127.0.0.1:8001", std::chrono::seconds(2));
//   const auto reply = client.SendAndWait("GET", "/v1/status", "");
//   if (!reply) return reply.error();

#ifndef LACEWINGKNOT_HTTP_CLIENT_H_
#define LACEWINGKNOT_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/error.h"

namespace lacewingknot {

struct ClientReply {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

class HttpClient {
 public:
  // `address` is "IP:PORT". A request without a reply fails after `timeout`.
  HttpClient(const std::string& address, Duration timeout);
  ~HttpClient();

  using ReplyCallback = std::function<void(Result<ClientReply>)>;
  using Headers = std::map<std::string, std::string>;

  // Sends a request and calls `on_reply` with the reply, whatever its status,
  // or with kPlatformUnavailable if there is none. A `body` that is not empty
  // is sent as JSON.
  void Send(const std::string& method, const std::string& target,
            const std::string& body, ReplyCallback on_reply,
            const Headers& headers = {});

  // Like Send, but blocks until the reply or the failure.
  Result<ClientReply> SendAndWait(const std::string& method,
                                  const std::string& target,
                                  const std::string& body,
                                  const Headers& headers = {});

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_HTTP_CLIENT_H_
