// HTTP to the platform and to daemons' operator pages, by cpprestsdk.
//
// For idempotent reads, and for the command-line tool: cpprestsdk repeats a
// request by itself when a kept connection turns out to be closed, so upstream
// requests go through net/http_connection.h instead.
//
// Thread-safe. Callbacks run on the library's threads.

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
  // `address` is "IP:PORT". An exchange fails after `timeout`.
  HttpClient(const std::string& address, Duration timeout);
  ~HttpClient();

  using Done = std::function<void(Result<ClientReply>)>;
  void Send(const std::string& method, const std::string& target,
            const std::string& body, Done done);

  // Waits for the reply.
  Result<ClientReply> SendAndWait(const std::string& method,
                                  const std::string& target,
                                  const std::string& body);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_HTTP_CLIENT_H_
