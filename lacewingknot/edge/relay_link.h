// The connection to one relay, and the attempts delegated to that relay.
//
// A relay responds to every request within a few milliseconds, with an empty
// batch if it has no result yet. A relay that leaves a request unacknowledged
// for kUnresponsiveAfter is not usable: new attempts go elsewhere until it
// sends a message again.
//
// Errors: attempts that are pending when the connection is lost finish with
// AttemptEnd::kLost. The link reconnects by itself until Close() is called.
//
// Not thread-safe: runs on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_RELAY_LINK_H_
#define LACEWINGKNOT_EDGE_RELAY_LINK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lacewingknot/edge/attempt.h"
#include "lacewingknot/edge/relay_channel.h"
#include "lacewingknot/edge/relay_messages.h"
#include "lacewingknot/edge/timer_queue.h"

namespace lacewingknot::edge {

class RelayLink : public std::enable_shared_from_this<RelayLink> {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    TimerQueue* timers = nullptr;
    std::string address;  // IP:PORT of the relay.
    // Limits the answers that are held; null for no limit. A frame that does
    // not fit ends the connection, a result that does not fit is kLost.
    std::shared_ptr<AnswerBudget> answer_budget;
    AnswerDroppedHook on_answer_dropped;
    // Called with what the relay, `from`, reports that upstreams say.
    std::function<void(std::span<const StatementReport> reports,
                       std::string_view from)>
        on_statements;
  };

  explicit RelayLink(Options options) : options_(std::move(options)) {}

  // Connects, and reconnects whenever the connection is lost.
  void Open();
  // Closes the connection permanently; pending attempts finish as kLost.
  void Close();

  // Whether new attempts may be delegated to this relay.
  bool is_usable(TimePoint now) const;

  // Receives one batch of a query's results: its merged records, what is held
  // for them, and a function that finishes all attempts in the batch. The
  // caller must either count all of these attempts or discard the records.
  using BatchCallback =
      std::function<void(std::string records, AnswerBudget::Reservation held,
                         const std::function<void()>& finish_attempts)>;

  // Registers an attempt and returns its number. The result arrives through
  // `attempt->on_done`, never from within a call to this class other than
  // Close().
  std::uint64_t AddAttempt(AttemptPtr attempt);
  // Calls `on_batch` for each further batch of the query's results.
  void SetBatchCallback(std::uint64_t query, BatchCallback on_batch);
  // Sends a request whose attempts were registered by AddAttempt().
  void SendRequest(RelayAttemptRequest request, TimePoint now);
  // Abandons the attempt: its result is ignored.
  void AbandonAttempt(std::uint64_t number);
  // Ignores further batches of the query. `cancel_at_relay` also cancels it at
  // the relay, which is needed while the relay may still be working on it.
  void AbandonQuery(std::uint64_t query, bool cancel_at_relay);

  const std::string& address() const { return options_.address; }

 private:
  // A relay that sends nothing for this long after a request is unresponsive.
  // Its acknowledgement takes a few milliseconds plus its scheduling delay.
  static constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(40);
  // After this much silence the connection is closed, because a dead connection
  // shows no other symptom.
  static constexpr Duration kDisconnectAfter = std::chrono::milliseconds(1'000);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
  static constexpr Duration kReconnectAfter = std::chrono::milliseconds(500);

  void OnConnected(boost::asio::ip::tcp::socket socket);
  void OnMessage(RelayMessage message);
  void OnResults(RelayResults message);
  void FinishAttempt(RelayResult& result);
  // Reserves `bytes` of an answer; empty, and reported, if they do not fit.
  std::optional<AnswerBudget::Reservation> Hold(std::size_t bytes);
  void OnConnectionLost(std::string_view cause);
  void FailPendingAttempts();
  void ScheduleReconnect();
  void ScheduleSilenceCheck();

  Options options_;
  bool is_closed_ = false;
  bool is_relay_stopping_ = false;         // It sent a RelayStopNotice.
  std::shared_ptr<RelayChannel> channel_;  // Null while disconnected.
  std::unordered_map<std::uint64_t, AttemptPtr> pending_attempts_;
  std::unordered_map<std::uint64_t, BatchCallback>
      batch_callbacks_;  // By query.
  std::uint64_t next_attempt_number_ = 1;
  // Time of the first request since the relay's last message.
  std::optional<TimePoint> unacknowledged_since_;
  bool has_pending_silence_check_ = false;
};

using RelayLinkPtr = std::shared_ptr<RelayLink>;

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_LINK_H_
