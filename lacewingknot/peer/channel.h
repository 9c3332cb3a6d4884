// Unreliable one-way messages between daemons, over nng.
//
// Each daemon listens on one PULL socket and opens a PUSH socket for each peer
// that it sends to. Requests and replies are both pushed; the caller matches
// replies to requests (see `PeerEnvelope::correlation`). nng's request/reply
// sockets are not used, because they resend a request by themselves when a
// connection breaks.
//
// Thread-safe, except that Start and Stop must not run concurrently with each
// other. `on_message` is called on nng's threads.
//
// Example:
//   PeerChannel channel({.listen = "127.0.0.1:7001", .on_message = handle});
//   if (auto started = channel.Start(); !started) return started.error();
//   auto sent = channel.Send("127.0.0.1:7002", bytes);
//   if (!sent) return sent.error();

#ifndef LACEWINGKNOT_PEER_CHANNEL_H_
#define LACEWINGKNOT_PEER_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lacewingknot/base/error.h"

namespace lacewingknot {

class PeerChannel {
 public:
  struct Options {
    std::string listen;  // "IP:PORT".
    // Receives one whole message; `bytes` is valid only during the call.
    std::function<void(std::string_view bytes)> on_message;
  };

  explicit PeerChannel(Options options);
  ~PeerChannel();

  // Starts to listen. kPeerUnreachable, with nng's error text, on failure.
  Result<void> Start();

  // Queues `bytes` on the connection to `address` ("IP:PORT"), which is opened
  // on first use. Success doesn't mean that the peer received the message.
  // kPeerUnreachable if the peer is not connected at present or the send buffer
  // is full; the message is then not sent.
  Result<void> Send(const std::string& address, std::string_view bytes);

  // Starts connecting to `address` without blocking, so that a later Send finds
  // an open connection.
  void StartConnecting(const std::string& address);

  // Closes the connections to all peers except `addresses`.
  void CloseAllExcept(const std::vector<std::string>& addresses);

  // Stops receiving and closes all connections.
  void Stop();

  // Bytes of all messages queued for sending or received so far.
  std::uint64_t byte_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_PEER_CHANNEL_H_
