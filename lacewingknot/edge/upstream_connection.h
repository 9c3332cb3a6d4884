// One HTTP/1.1 connection to an upstream, with one exchange at a time.
//
// A read is always outstanding, so that a close or unexpected bytes on an idle
// connection are noticed without a system call before each use. Unexpected
// bytes close the connection. An answer with another request's id is dropped,
// and the connection goes on waiting for the answer to the current request.
//
// An upstream may send an answer twice, the second time where the answer to a
// later request is expected. Only the id tells them apart, so a connection that
// has carried an attempt of a request must not carry another one of it.
//
// The bytes of an answer are taken from a budget that all connections share. An
// answer that does not fit ends its exchange as kLost.
//
// Not thread-safe: runs on the io_context's thread. Keeps itself alive while an
// operation is outstanding.

#ifndef LACEWINGKNOT_EDGE_UPSTREAM_CONNECTION_H_
#define LACEWINGKNOT_EDGE_UPSTREAM_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/edge/header_names.h"
#include "lacewingknot/edge/http_messages.h"

namespace lacewingknot::edge {

// Whether `cause`, of a closed connection or a lost exchange, means that the
// upstream broke the connection off.
bool IsBrokenOffByUpstream(std::string_view cause);

class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  enum class State { kConnecting, kIdle, kBusy, kClosed };

  struct Options {
    boost::asio::ip::tcp::endpoint endpoint;
    const HeaderNames* names = nullptr;
    std::string upstream_id;
    // Sets socket options by which the kernel detects a dead peer
    // (internal/socket_options.h).
    bool has_keep_alive_probes = true;
    std::shared_ptr<AnswerBudget> answer_budget;  // Null: no limit in total.
    AnswerDroppedHook on_answer_dropped;
    // Called when the connection is open and idle.
    std::function<void()> on_open;
    // Called when an exchange has ended and the connection is idle or closed.
    std::function<void(const AttemptPtr& attempt, AttemptResult result)>
        on_exchange_end;
    // Called when the connection closes without an exchange in progress.
    // `opened` is false if it never opened.
    std::function<void(bool opened, std::string_view cause)> on_closed;
  };

  UpstreamConnection(boost::asio::io_context& io, Options options);

  void Open();

  // Sends `attempt`; the connection must be idle and must not have carried an
  // attempt of the same request.
  void Send(AttemptPtr attempt, TimePoint now);

  // Whether an attempt of `request` was sent here.
  bool HasCarried(const OutboundRequest& request) const;

  // Closes at once. An exchange in progress ends as kLost with `cause`.
  void Close(std::string_view cause);

  State state() const { return state_; }
  const AttemptPtr& attempt() const { return attempt_; }
  TimePoint idle_since() const { return idle_since_; }
  // When the connection opened; before that TimePoint::max().
  TimePoint opened_at() const { return opened_at_; }
  // How long the upstream keeps an idle connection open, if it states that.
  std::optional<Duration> idle_timeout() const { return idle_timeout_; }

 private:
  // The most answers to other requests that are dropped in one exchange, and
  // the most interim (1xx) answers to one request.
  static constexpr int kMaxStrayAnswers = 2;
  static constexpr int kMaxInterimAnswers = 8;
  // The most bytes buffered of an incomplete head, chunk header or trailer.
  static constexpr std::size_t kMaxPendingBytes = 16 << 10;
  // Larger answers end the exchange as kLost.
  static constexpr std::uint64_t kMaxAnswerBytes = 8 << 20;

  void OnConnected(boost::system::error_code error);
  void WriteRemainder(const std::shared_ptr<std::string>& remainder);
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void Parse();
  void OnReadError(boost::system::error_code error);
  void OnAnswer();
  void StartReader();
  // Ends the exchange because the answer is too large.
  void DropAnswer(std::string_view cause);
  // Bytes of the answer that are in memory.
  std::size_t HeldBytes();
  void EndExchange(AttemptResult result, bool reusable);
  void CloseSocket();

  const std::uint64_t number_;  // Unique in this process.
  boost::asio::ip::tcp::socket socket_;
  Options options_;
  State state_ = State::kConnecting;
  AttemptPtr attempt_;
  std::optional<UpstreamReplyReader> reader_;
  std::string pending_;             // Received but not parsed yet.
  AnswerBudget::Reservation held_;  // For `pending_` and the reader's answer.
  std::array<char, 4096> chunk_{};
  TimePoint idle_since_{};
  TimePoint opened_at_ = TimePoint::max();
  std::optional<Duration> idle_timeout_;
  int stray_answers_ = 0;
  int interim_answers_ = 0;
  bool is_writing_ = false;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_UPSTREAM_CONNECTION_H_
