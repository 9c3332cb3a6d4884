// One client's connection: reads requests, starts sessions, writes answers.
//
// One request at a time; what a client sends ahead waits in the buffer. A read
// is outstanding all the time, so that a client that leaves is seen while its
// request is at work. Keeps itself alive while an operation is outstanding.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_CLIENT_CONNECTION_H_
#define LACEWINGKNOT_EDGE_CLIENT_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/http_messages.h"
#include "lacewingknot/edge/request_session.h"

namespace lacewingknot::edge {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    // Whether answers close their connection, because the daemon stops.
    std::function<bool()> is_draining;
    std::function<void(ClientConnection*)> on_closed;
  };

  ClientConnection(boost::asio::ip::tcp::socket socket, Options options);

  void Start();
  // Closes if no request is at work or being read. Returns whether it closed.
  bool CloseIfIdle();
  bool is_idle() const {
    return lingering_ || (!session_ && !busy_ && buffer_.empty());
  }

 private:
  // Buffered bytes of later requests beyond which reading pauses.
  static constexpr std::size_t kMaxAhead = 64 << 10;
  // Time for a client to close after the last answer. Closing first, with bytes
  // unread, would reset the connection and may destroy that answer.
  static constexpr Duration kLingerTime = std::chrono::milliseconds(500);

  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void Parse();
  void StartReader();
  void OnHeader();
  void OnRequest();
  void OnParseError(boost::system::error_code error);
  void Reject(int status, std::string_view cause);
  void OnAnswer(const ClientAnswer& answer);
  void Write(std::string bytes);
  void OnWritten();
  void Linger();
  void OnTimeout();
  void ArmTimer(Duration after);
  void Close();
  ClientLimits limits() const;

  boost::asio::ip::tcp::socket socket_;
  Options options_;
  std::optional<ClientRequestReader> reader_;
  std::string buffer_;  // Received, and not parsed yet.
  std::array<char, 8192> chunk_{};
  std::shared_ptr<RequestSession> session_;
  bool busy_ = false;  // A request is at work or its answer being written.
  bool reading_ = false;
  bool closed_ = false;
  bool lingering_ = false;  // Only waits for the client to close.
  bool keep_alive_ = true;
  bool head_only_ = false;  // The answer to HEAD has no body.
  bool header_seen_ = false;
  std::size_t requests_ = 0;
  TimerQueue::Id timer_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CLIENT_CONNECTION_H_
