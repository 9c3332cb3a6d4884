// HTTP for callers and operators, by cpprestsdk.
//
// The header is free of cpprestsdk, whose headers are slow to compile.
// Handlers run on the library's threads; a reply may be given from any thread,
// exactly once.
//
// Example:
//   HttpServer server({.listen = "127.0.0.1:8001", .handler = Handle});
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

// Sets the size of cpprestsdk's thread pool; call once, before anything else
// of this directory.
void InitializeHttpThreads(std::size_t threads);

class HttpServer {
 public:
  struct Options {
    std::string listen;  // "IP:PORT".
    std::size_t max_body_bytes = 65'536;
    std::function<void(ServerRequest, Respond)> handler;
    // Makes the body of the reply to a request that the server refuses itself.
    std::function<std::string(const Error&)> refusal_body;
  };

  explicit HttpServer(Options options);
  ~HttpServer();

  Result<void> Start();
  // Stops accepting connections, then waits for replies in progress.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_HTTP_SERVER_H_
