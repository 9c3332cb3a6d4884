// A blocking HTTP/1.1 server and client for stand-ins, with one thread for each
// connection.
//
// Thread-safe: handlers run on the threads of their connections.

#ifndef REVIEW_STANDINS_2_HTTP_STAND_IN_H_
#define REVIEW_STANDINS_2_HTTP_STAND_IN_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace review {

struct HttpMessage {
  std::string start_line;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string header(const std::string& name) const;
};

struct HttpRequest : HttpMessage {
  std::string method() const;
  std::string path() const;  // Without the query.
  // Returns the decoded value of a query parameter; empty if it is missing.
  std::string parameter(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  // "Name: value\r\n" for each.
  std::string headers;
  std::string body;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest& request)>;

// Serves `address`:`port` until the process ends. Returns false if the address
// cannot be bound.
bool Serve(const std::string& address, int port, HttpHandler handler);

// A server that can crash: its connections break off, and new ones are refused
// until it starts again.
class CrashableServer {
 public:
  CrashableServer(std::string address, int port, HttpHandler handler);
  bool Start();
  void Crash();

 private:
  // Shared with the threads of the connections.
  struct Sockets {
    std::mutex mutex;
    std::set<int> open;
    bool is_running = false;
  };

  const std::string address_;
  const int port_;
  const HttpHandler handler_;
  int listener_ = -1;
  std::shared_ptr<Sockets> sockets_;
};

// Sends `request` (head and body as they are) over a new connection and reads
// one answer; empty if there is none within `timeout`.
std::optional<HttpMessage> Exchange(const std::string& address, int port,
                                    const std::string& request,
                                    std::chrono::milliseconds timeout);

// The status of an answer.
int StatusOf(const HttpMessage& answer);

// Returns a port of `address` that nothing is bound to.
int FreePort(const std::string& address);

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_STAND_IN_H_
