// One HTTP/1.1 connection to an upstream, one exchange at a time.
//
// The connection is explicit so that its owner can see what an HTTP client
// with a hidden pool does not show: whether any byte of a request may have
// left, and when the other end closed an idle connection. It never repeats a
// request by itself (docs/design/upstream-connections.md).
//
// A connection keeps itself alive while an operation is outstanding. Not
// thread-safe: every call and callback runs on the io_context's thread.
//
// Example:
//   auto connection = HttpConnection::Create(io, endpoint, {.on_lost = ...});
//   connection->Connect([=](Result<void> connected) {
//     if (connected) connection->Exchange(call, on_reply);
//   });

#ifndef LACEWINGKNOT_NET_HTTP_CONNECTION_H_
#define LACEWINGKNOT_NET_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lacewingknot/base/error.h"

namespace lacewingknot {

struct HttpCall {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpReply {
  int status = 0;
  boost::beast::http::fields headers;
  std::string body;

  // Empty if the reply has no such header.
  std::string_view header(std::string_view name) const;
};

// Parses "IP:PORT".
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // Replies with larger bodies fail as malformed.
  static constexpr std::size_t kMaxReplyBytes = 8 << 20;

  struct Options {
    // The other end closed the connection while it was idle.
    std::function<void()> on_lost;
  };

  using ConnectCallback = std::function<void(Result<void>)>;
  // Fails with kNotSent if no byte left, else kConnectionLost,
  // kMalformedAnswer or kCancelled.
  using ReplyCallback = std::function<void(Result<HttpReply>)>;

  static std::shared_ptr<HttpConnection> Create(
      boost::asio::io_context& io, boost::asio::ip::tcp::endpoint endpoint,
      Options options);

  void Connect(ConnectCallback done);

  // The connection must be idle. Calls `done` exactly once.
  void Exchange(const HttpCall& call, ReplyCallback done);

  // Closes at once; an outstanding exchange fails with kCancelled.
  void Close();

  // True if the connection is idle and the other end has not closed it. Looks
  // at the socket itself, so that a close that arrived during a pause of this
  // process is seen before anything is sent.
  bool IsReusable();

  bool is_open() const { return socket_.is_open(); }
  // Replies received.
  std::size_t replies() const { return replies_; }

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  HttpConnection(boost::asio::io_context& io,
                 boost::asio::ip::tcp::endpoint endpoint, Options options);

  void Read();
  void OnReply(boost::system::error_code error);
  void WatchIdle();
  void Finish(Result<HttpReply> result);
  Error FailureOf(boost::system::error_code error) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Options options_;
  boost::beast::flat_buffer buffer_;
  std::optional<Request> request_;
  std::optional<Parser> parser_;
  ReplyCallback done_;
  std::size_t replies_ = 0;
  bool closed_here_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_NET_HTTP_CONNECTION_H_
