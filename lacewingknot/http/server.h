// HTTP server for callers and operators, implemented with cpprestsdk.
//
// This header does not include cpprestsdk, whose headers are slow to compile.
//
// Handlers run on the threads of cpprestsdk, several at once. A handler calls
// its `Respond` exactly once, on any thread, during the handler or later.
//
// Example:
//   void Handle(ServerRequest request, Respond respond) {
//     respond({.status = 200, .body = "{}"});
//   }
//
//   HttpServer server({.listen = "127.0.0.1:8001",
//                      .handler = Handle,
//                      .refusal_body = [](const Error& error) {
//                        return error.detail;
//                      }});
//   if (auto started = server.Start(); !started) return started.error();

#ifndef LACEWINGKNOT_HTTP_SERVER_H_
#define LACEWINGKNOT_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lacewingknot/base/error.h"

namespace lacewingknot {

struct ServerRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string body;
};

struct ServerReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

using Respond = std::function<void(ServerReply)>;

// Sets the number of threads of cpprestsdk, which HttpServer and HttpClient
// share. Call once, before either is constructed.
void InitializeHttpThreads(std::size_t threads);

class HttpServer {
 public:
  struct Options {
    std::string listen;  // "IP:PORT".
    std::size_t max_body_bytes = 65'536;
    std::function<void(ServerRequest, Respond)> handler;
    // Returns the body of the reply to a request that the server refuses
    // without calling `handler`. Must be set.
    std::function<std::string(const Error&)> refusal_body;
  };

  explicit HttpServer(Options options);
  ~HttpServer();

  // Starts to accept connections. Fails with kInvalidSettings if the server
  // cannot listen on the address.
  Result<void> Start();

  // Stops accepting connections, then waits for replies in progress.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_HTTP_SERVER_H_
