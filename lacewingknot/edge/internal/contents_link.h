// One TCP connection over which contents messages pass between two daemons
// (edge/contents_messages.h).
//
// The object keeps itself alive while the connection is open. Frames are shared
// with other links and written in order. Errors, malformed frames and a peer
// that does not read end the connection and are reported once through
// `on_closed`.
//
// Not thread-safe: runs on the thread of its socket's executor.
//
// Example:
//   auto link = std::make_shared<ContentsLink>(
//       std::move(socket), {.on_message = ..., .on_closed = ...});
//   link->Start();
//   link->Send(std::make_shared<const std::string>(EncodeContentsFrame(m)));

#ifndef LACEWINGKNOT_EDGE_INTERNAL_CONTENTS_LINK_H_
#define LACEWINGKNOT_EDGE_INTERNAL_CONTENTS_LINK_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "lacewingknot/edge/contents_messages.h"

namespace lacewingknot::edge::internal {

class ContentsLink : public std::enable_shared_from_this<ContentsLink> {
 public:
  struct Options {
    // Largest frame that the peer may send.
    std::size_t max_frame_bytes = kMaxContentsFrameBytes;
    std::function<void(ContentsMessage)> on_message;
    // Called once when the connection ends, unless Close() ended it. `cause`:
    // "lost", "refused" after a malformed frame, or "unread".
    std::function<void(std::string_view cause)> on_closed;
  };

  // `socket` must be connected.
  ContentsLink(boost::asio::ip::tcp::socket socket, Options options);

  void Start();
  void Send(std::shared_ptr<const std::string> frame);
  // Closes the connection without calling `on_closed`.
  void Close();

 private:
  // A peer that leaves more frames than this unread is treated as stopped.
  static constexpr std::size_t kMaxUnsentFrames = 64;

  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void Write();
  void CloseAndReport(std::string_view cause);

  boost::asio::ip::tcp::socket socket_;
  Options options_;
  std::array<char, 4'096> read_buffer_{};
  std::string received_;
  std::deque<std::shared_ptr<const std::string>> unsent_;  // The first is being
                                                           // written.
  bool is_closed_ = false;
};

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_CONTENTS_LINK_H_
