// A small HTTP/1.1 server for the stand-ins, with control over each connection.
//
// The handler decides what a connection does with a request: reply, close, or
// never answer. Not thread-safe: runs on one io_context thread.

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

  std::string header(std::string_view name) const;
};

struct FakeReply {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Bytes of the body left out before the connection is closed.
  std::size_t truncate = 0;
};

class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  explicit FakeConnection(boost::asio::ip::tcp::socket socket);

  void Reply(const FakeReply& reply);
  // Writes `bytes` as they are; `close` ends the connection behind them.
  void ReplyRaw(const std::string& bytes, bool close);
  void Close();
  // Called when the other end goes away while a request is being served.
  void set_on_gone(std::function<void()> on_gone);
  // A silent connection stays open and does nothing more.
  void Silence() { silent_ = true; }

 private:
  friend class FakeHttpServer;
  using Handler =
      std::function<void(FakeRequest, std::shared_ptr<FakeConnection>)>;

  void Serve(Handler handler, std::function<void()> on_closed);
  void Read();
  void WatchGone();

  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  Handler handler_;
  std::function<void()> on_closed_;
  std::function<void()> on_gone_;
  std::uint64_t served_ = 0;
  bool silent_ = false;
};

class FakeHttpServer {
 public:
  struct Options {
    std::uint16_t port = 0;  // 0 for any free port.
    // Time before a new connection is served.
    Duration connect_cost{};
    // Connections open at once; more are closed at once. 0 for no limit.
    std::size_t max_connections = 0;
    std::function<void(FakeRequest, std::shared_ptr<FakeConnection>)> handler;
  };

  FakeHttpServer(boost::asio::io_context& io, Options options);

  std::uint16_t port() const { return port_; }
  std::size_t open_connections() const { return connections_.size(); }
  std::size_t most_connections() const { return most_connections_; }
  std::size_t connections_refused() const { return refused_; }

  void CloseAll();
  void SilenceAll();
  // While down, new connections are closed at once.
  void set_down(bool down);

 private:
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<FakeConnection>> connections_;
  // Kept, as a connection that is destroyed is closed.
  std::vector<std::shared_ptr<FakeConnection>> silenced_;
  std::size_t most_connections_ = 0;
  std::size_t refused_ = 0;
  bool down_ = false;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_FAKE_HTTP_H_
