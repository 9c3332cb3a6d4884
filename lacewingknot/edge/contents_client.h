// The link of a follower to the daemon from which it gets the contents of the
// store (edge/contents_server.h).
//
// There is one link at a time. It is not reopened by itself: the owner decides
// which peer to ask next (policy/contents_source.h).
//
// Not thread-safe: runs on the thread of its io_context, and calls the hooks
// there.
//
// Example:
//   ContentsClient client({.io = &io, .make_request = ..., .on_message = ...});
//   client.SetPeer("10.1.0.9:7380");

#ifndef LACEWINGKNOT_EDGE_CONTENTS_CLIENT_H_
#define LACEWINGKNOT_EDGE_CONTENTS_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "lacewingknot/edge/contents_messages.h"

namespace lacewingknot::edge {

namespace internal {
class ContentsLink;
}

// Returns the address at which the daemon with gossip address `address`
// (IP:PORT) passes on contents: the next higher port. Empty if `address` is
// malformed or has no next higher port.
std::string ContentsAddress(std::string_view address);

class ContentsClient {
 public:
  struct Options {
    boost::asio::io_context* io = nullptr;
    // Returns the request to send over a new link.
    std::function<ContentsMessage()> make_request;
    std::function<void()> on_opened;
    std::function<void(ContentsMessage message)> on_message;
    // The link could not be opened or has ended: "lost", "refused" or "unread".
    std::function<void(std::string_view cause)> on_closed;
  };

  explicit ContentsClient(Options options) : options_(std::move(options)) {}

  // Closes the link to another peer and opens one to the daemon with the gossip
  // address `address`, if there is none; empty for no link.
  void SetPeer(const std::string& address);
  // Closes the link and opens it again.
  void Reopen();

  const std::string& peer() const { return peer_; }

 private:
  void Open();
  void Close();

  Options options_;
  std::string peer_;
  // Increases with each link, so that handlers of former ones are ignored.
  std::uint64_t number_ = 0;
  std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
  std::shared_ptr<internal::ContentsLink> link_;
};

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_CONTENTS_CLIENT_H_
