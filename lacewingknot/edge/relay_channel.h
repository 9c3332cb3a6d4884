// Frames in both directions over one connection between daemons.
//
// Keeps itself alive while the connection is open. Writes at once what the
// socket takes; the rest waits in order. Not thread-safe: runs on the traffic
// thread.

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

namespace lacewingknot::edge {

class RelayChannel : public std::enable_shared_from_this<RelayChannel> {
 public:
  struct Options {
    std::function<void(RelayMessage)> on_message;
    // Called once, when the connection has ended, unless Close was called.
    std::function<void(std::string_view cause)> on_closed;
  };

  // `socket` is connected.
  RelayChannel(boost::asio::ip::tcp::socket socket, Options options);

  void Start();
  void Send(const RelayMessage& message);
  void Close();

 private:
  // Bytes that a peer leaves unread before it counts as stopped.
  static constexpr std::size_t kMaxUnsent = 4 << 20;

  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void WriteRest();
  void End(std::string_view cause);

  boost::asio::ip::tcp::socket socket_;
  Options options_;
  std::array<char, 8192> chunk_{};
  std::string received_;
  std::string unsent_;
  std::string writing_;
  bool closed_ = false;
};

// Hooks that call `owner` as long as it lives, so that an owner and its channel
// do not keep each other alive.
template <typename Owner>
RelayChannel::Options HooksTo(std::weak_ptr<Owner> owner,
                              void (Owner::*on_message)(RelayMessage),
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
