// Messages to and from other daemons, over nng.
//
// Each daemon has one PULL socket that listens, and a PUSH socket for each
// peer that it writes to. Requests and replies are both pushed; correlation is
// the caller's. nng's request/reply sockets are not used, as they send a
// request again by themselves when a connection breaks.
//
// Thread-safe. `on_message` is called on nng's threads.
//
// Example:
//   PeerChannel channel({.listen = "127.0.0.1:7001", .on_message = handle});
//   if (auto started = channel.Start(); !started) return started.error();
//   channel.Send("127.0.0.1:7002", bytes);

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
    std::function<void(std::string_view bytes)> on_message;
  };

  explicit PeerChannel(Options options);
  ~PeerChannel();

  Result<void> Start();

  // Hands `bytes` to the connection to `address`, opening one on first use.
  // kPeerUnreachable if it is not connected now; the message is then not sent.
  Result<void> Send(const std::string& address, std::string_view bytes);

  // Begins to connect, so that a later Send finds a connection.
  void Prepare(const std::string& address);

  // Closes connections to all but `addresses`.
  void Retain(const std::vector<std::string>& addresses);

  void Stop();

  // Bytes of messages handed over since the start, in both directions.
  std::uint64_t bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_PEER_CHANNEL_H_
