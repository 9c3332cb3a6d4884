// A small HTTP/1.1 server for test fakes, with control over each connection.
//
// The handler decides how a connection treats a request: reply, close, or never
// answer. Example:
//
//   FakeHttpServer server(
//       io, {.handler = [](const FakeRequest& request,
//                          const std::shared_ptr<FakeConnection>& connection) {
//         connection->Reply({.status = 200, .body = request.path});
//       }});
//
// Not thread-safe: runs on one io_context thread.

#ifndef TESTING_FAKE_HTTP_H_
#define TESTING_FAKE_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lacewingknot/base/clock.h"

namespace lacewingknot::testing {

struct FakeRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  boost::beast::http::fields headers;
  std::string body;

  // Returns the value of the header `name`, empty if it is absent.
  std::string header(std::string_view name) const;
};

struct FakeReply {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Bytes at the end of the body that are not sent; if not 0, the connection
  // is closed after the rest of the body.
  std::size_t truncate = 0;
};

class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  explicit FakeConnection(boost::asio::ip::tcp::socket socket);

  void Reply(const FakeReply& reply);
  // Writes `bytes` unchanged, then closes the connection if `close` is set.
  void ReplyRaw(const std::string& bytes, bool close);
  void Close();
  // Sets a callback for the peer closing the connection, or sending more bytes,
  // while a request is being served.
  void set_on_peer_closed(std::function<void()> on_peer_closed);
  // Keeps the connection open but neither reads nor writes any more.
  void Silence() { is_silent_ = true; }

 private:
  friend class FakeHttpServer;
  using Handler =
      std::function<void(FakeRequest, std::shared_ptr<FakeConnection>)>;

  void Serve(Handler handler, std::function<void()> on_closed);
  void Read();
  void WatchForPeerClose();

  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  Handler handler_;
  std::function<void()> on_closed_;
  std::function<void()> on_peer_closed_;
  std::uint64_t request_count_ = 0;
  bool is_silent_ = false;
};

class FakeHttpServer {
 public:
  struct Options {
    std::uint16_t port = 0;  // 0 chooses a free port.
    // Delay between accepting a connection and serving it.
    Duration connect_cost{};
    // Limit of open connections; further connections are reset on accept. 0
    // means no limit.
    std::size_t max_connections = 0;
    std::function<void(FakeRequest, std::shared_ptr<FakeConnection>)> handler;
  };

  FakeHttpServer(boost::asio::io_context& io, Options options);

  std::uint16_t port() const { return port_; }
  std::size_t open_connections() const { return connections_.size(); }
  // Highest number of connections that were open at the same time.
  std::size_t peak_connections() const { return peak_connections_; }
  std::size_t connections_refused() const { return refused_count_; }

  void CloseAll();
  void SilenceAll();
  // Going down closes all connections; while down, new connections are reset
  // on accept.
  void set_down(bool down);

 private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<FakeConnection>> connections_;
  // Keeps silenced connections alive, because the destructor would close their
  // sockets.
  std::vector<std::shared_ptr<FakeConnection>> silenced_connections_;
  std::size_t peak_connections_ = 0;
  std::size_t refused_count_ = 0;
  bool is_down_ = false;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAKE_HTTP_H_
