// Sends and receives relay frames over one TCP connection between two daemons.
//
// The object keeps itself alive while the connection is open. Send() writes
// synchronously as much as the socket accepts and queues the rest in order.
// Errors end the connection and are reported once through `on_closed`.
//
// Not thread-safe: runs on the traffic thread.
//
// Example:
//   auto channel = std::make_shared<RelayChannel>(
//       std::move(socket),
//       MakeWeakCallbacks(weak_from_this(), &Owner::OnMessage,
//                         &Owner::OnClosed));
//   channel->Start();
//   channel->Send(RelayAbandon{.query = 7});

#ifndef LACEWINGKNOT_EDGE_RELAY_CHANNEL_H_
#define LACEWINGKNOT_EDGE_RELAY_CHANNEL_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "lacewingknot/edge/relay_messages.h"
#include "lacewingknot/policy/answer_budget.h"

namespace lacewingknot::edge {

class RelayChannel : public std::enable_shared_from_this<RelayChannel> {
 public:
  struct Options {
    std::function<void(RelayMessage)> on_message;
    // Called once when the connection ends, unless Close() ended it.
    std::function<void(std::string_view cause)> on_closed;
    // Limits the bytes of frames that are not complete or not written yet; null
    // for no limit. A frame that does not fit ends the connection.
    std::shared_ptr<AnswerBudget> budget;
  };

  // `socket` must be connected.
  RelayChannel(boost::asio::ip::tcp::socket socket, Options options);

  // Starts reading; messages arrive through `on_message`.
  void Start();
  // Does nothing after the connection has ended.
  void Send(const RelayMessage& message);
  // Closes the connection without calling `on_closed`.
  void Close();

 private:
  // A peer that leaves more bytes than this unread is treated as stopped.
  static constexpr std::size_t kMaxUnsentBytes = 4 << 20;

  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void WriteUnsent();
  void CloseAndReport(std::string_view cause);

  boost::asio::ip::tcp::socket socket_;
  Options options_;
  std::array<char, 8192> read_buffer_{};
  std::string received_;
  AnswerBudget::Reservation held_received_;
  std::string unsent_;
  AnswerBudget::Reservation held_unsent_;
  std::string write_buffer_;
  bool is_closed_ = false;
};

// Returns callbacks that call member functions of `owner` while it exists. They
// hold a weak reference, so that an owner and its channel do not keep each
// other alive.
template <typename Owner>
RelayChannel::Options MakeWeakCallbacks(
    std::weak_ptr<Owner> owner, void (Owner::*on_message)(RelayMessage),
    void (Owner::*on_closed)(std::string_view)) {
  return {.on_message =
              [owner, on_message](RelayMessage message) {
                const auto self = owner.lock();
                if (self) (self.get()->*on_message)(std::move(message));
              },
          .on_closed =
              [owner, on_closed](std::string_view cause) {
                const auto self = owner.lock();
                if (self) (self.get()->*on_closed)(cause);
              }};
}

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_RELAY_CHANNEL_H_
