// One HTTP/1.1 client connection, which carries one exchange (a request and its
// reply) at a time.
//
// The owner of an HttpConnection sees what an HTTP client with an internal
// connection pool hides: whether any byte of a request may have been sent, and
// when the peer closed an idle connection. The class never repeats a request by
// itself; see docs/design/upstream-connections.md.
//
// The class sets no timeout: the owner calls Close() when an exchange takes too
// long. A connection stays alive while an operation is outstanding. Not
// thread-safe: every call and callback runs on the thread of the io_context.
//
// Example:
//   auto connection = HttpConnection::Create(io, endpoint, {});
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

  // Returns the value of a header, whose name is matched without regard to
  // case, or an empty string if the reply has no such header.
  std::string_view header(std::string_view name) const;
  // Returns the values of all headers of that name.
  std::vector<std::string_view> header_values(std::string_view name) const;
};

// Parses "IP:PORT". Fails with kInvalidSettings.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // A reply with a larger body fails with kMalformedAnswer.
  static constexpr std::size_t kMaxReplyBytes = 8 << 20;
  // The most bytes buffered of an incomplete head, chunk header or trailer; a
  // reply with a longer one fails with kMalformedAnswer.
  static constexpr std::size_t kMaxBufferedBytes = 64 << 10;

  struct Options {
    // Called when the peer closes the connection, or sends unexpected bytes,
    // while the connection is idle. May be empty.
    std::function<void()> on_closed_while_idle;
  };

  using ConnectCallback = std::function<void(Result<void>)>;
  // Receives the reply or one of these errors: kNotSent if no byte of the
  // request was sent, kConnectionLost, kMalformedAnswer, or kCancelled after
  // Close().
  using ReplyCallback = std::function<void(Result<HttpReply>)>;

  static std::shared_ptr<HttpConnection> Create(
      boost::asio::io_context& io, boost::asio::ip::tcp::endpoint endpoint,
      Options options);

  // Fails with kConnectFailed.
  void Connect(ConnectCallback on_connected);

  // Sends `call` and reads the reply. The connection must be idle. Calls
  // `on_reply` exactly once.
  void Exchange(const HttpCall& call, ReplyCallback on_reply);

  // Closes the connection at once. An outstanding exchange fails with
  // kCancelled.
  void Close();

  // Returns true if the connection is idle and the peer has neither closed it
  // nor sent anything. Reads the state of the socket itself, so that a close
  // that arrived while this process was paused is detected before a request is
  // sent.
  bool IsReusable();

  bool is_open() const { return socket_.is_open(); }
  // Number of replies received.
  std::size_t replies_received() const { return replies_; }

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  HttpConnection(boost::asio::io_context& io,
                 boost::asio::ip::tcp::endpoint endpoint, Options options);

  void ReadReply();
  void OnReply(boost::system::error_code error);
  void WatchWhileIdle();
  void FinishExchange(Result<HttpReply> result);
  Error ToExchangeError(boost::system::error_code error) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Options options_;
  boost::beast::flat_buffer buffer_{kMaxBufferedBytes};
  std::optional<Request> request_;
  std::optional<Parser> parser_;
  ReplyCallback on_reply_;
  std::size_t replies_ = 0;
  bool closed_locally_ = false;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_NET_HTTP_CONNECTION_H_
