// One client's connection: reads requests, starts sessions and writes answers.
//
// Handles one request at a time; pipelined requests wait in the buffer. A read
// is outstanding while a request runs, so that a client's disconnect is
// noticed; only kMaxPipelinedBytes in the buffer pause reading. Keeps itself
// alive while an operation is outstanding.
//
// A client that reads nothing of its answer for the idle timeout is closed, and
// so is one whose unread answer does not fit into EdgeCore::unread_budget().
//
// The limits on what a client may send are those in force when a request
// begins to arrive. A timeout that operators raise meanwhile is extended.
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
#include <utility>

#include "lacewingknot/edge/edge_core.h"
#include "lacewingknot/edge/http_messages.h"
#include "lacewingknot/edge/request_decisions.h"
#include "lacewingknot/edge/request_session.h"

namespace lacewingknot::edge {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  struct Options {
    EdgeCore* core = nullptr;
    // Returns whether the daemon is stopping; each answer then closes its
    // connection.
    std::function<bool()> is_draining;
    std::function<void(ClientConnection*)> on_closed;
  };

  ClientConnection(boost::asio::ip::tcp::socket socket, Options options);

  void Start();
  // Closes the connection if no request is running or being read. Returns
  // whether it did.
  bool CloseIfIdle();
  // Answers the request that is running, if any, without waiting longer.
  void ExpireRequest();
  // Ends the request that is running if its key was withdrawn before it ran.
  void OnKeysWithdrawn();
  bool is_idle() const {
    return is_lingering_ || (!session_ && !has_request_ && buffer_.empty());
  }

 private:
  // Reading pauses while this many bytes of later requests are buffered.
  static constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
  // Time for the client to close after the last answer. If the daemon closed
  // first with bytes unread, the connection would be reset and that answer
  // might be lost.
  static constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);

  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void Parse();
  // Prepares to read a request whose first bytes have arrived.
  void BeginRequest();
  void OnHeader();
  void OnRequest();
  // Answers a request that `decision` refuses.
  void Refuse(const ClientRequest& request, const BoundTable* routes,
              const AccessDecision& decision);
  // Starts the request once it has a token of the team's quota, or answers it
  // with 429.
  void AwaitQuota(ClientRequest request,
                  std::shared_ptr<const BoundTable> routes,
                  const BoundRoute& route, const TeamTable::Match& team);
  // Starts the session of a request that may run.
  void StartRequest(ClientRequest request,
                    std::shared_ptr<const BoundTable> routes,
                    const BoundRoute& route, const TeamTable::Match& team,
                    bool has_quota_token);
  void OnParseError(boost::system::error_code error);
  void Reject(int status, std::string_view cause);
  void OnAnswer(const ClientAnswer& answer);
  void Write(std::string bytes);
  // Writes `unwritten_` as the client reads.
  void WriteUnwritten();
  void OnWritten();
  // Waits for the client to read some of its answer.
  void AwaitProgress();
  // Closes the connection of a client that does not read its answer.
  void CloseUnread(std::string_view cause);
  void Linger();
  void OnTimeout();
  void ArmTimer(Duration after);
  // Waits for the next request, or for the remainder of one that has begun.
  void AwaitClient();
  // Returns how long AwaitClient() may take.
  Duration AwaitLimit() const;
  void Close();
  ClientLimits limits() const;

  boost::asio::ip::tcp::socket socket_;
  Options options_;
  std::optional<ClientRequestReader> reader_;  // Empty between requests.
  std::string buffer_;                         // Received but not parsed yet.
  std::array<char, 8192> chunk_{};
  std::shared_ptr<RequestSession> session_;
  bool has_request_ = false;  // A request runs or its answer is being written.
  bool is_reading_ = false;
  std::string unwritten_;            // The rest of an answer.
  std::size_t unwritten_begin_ = 0;  // Bytes of it that have been written.
  AnswerBudget::Reservation held_;   // For `unwritten_`.
  int queued_bytes_ = 0;  // In the socket's send queue after the last write.
  bool is_closed_ = false;
  bool is_lingering_ = false;  // Waits only for the client to close.
  bool keep_alive_ = true;
  bool is_head_request_ = false;  // The answer to HEAD has no body.
  bool is_header_handled_ = false;
  std::size_t request_count_ = 0;
  TimePoint request_read_at_{};
  // The request waits for a token of this team's quota.
  std::optional<std::pair<std::string, TeamQuotas::Ticket>> quota_wait_;
  TimePoint awaiting_since_{};
  TimerQueue::Id timer_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CLIENT_CONNECTION_H_
