#include "lacewingknot/edge/internal/contents_link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/internal/socket_options.h"

namespace lacewingknot::edge::internal {

namespace asio = boost::asio;

ContentsLink::ContentsLink(asio::ip::tcp::socket socket, Options options)
    : socket_(std::move(socket)), options_(std::move(options)) {}

void ContentsLink::Start() {
  SetUpstreamSocketOptions(socket_);
  Read();
}

void ContentsLink::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ContentsLink::OnRead(boost::system::error_code error, std::size_t bytes) {
  if (is_closed_) return;
  if (error) {
    CloseAndReport("lost");
    return;
  }
  received_.append(read_buffer_.data(), bytes);
  while (!is_closed_) {
    auto message = ExtractContentsFrame(received_, options_.max_frame_bytes);
    if (!message) {
      LogEvent(Event::kPeerMessageMalformed,
               {{"reason", message.error().detail}});
      CloseAndReport("refused");
      return;
    }
    if (!message.value()) break;
    // Not kept at the size of the last snapshot.
    if (received_.empty()) received_ = {};
    options_.on_message(std::move(*message.value()));
  }
  if (!is_closed_) Read();
}

void ContentsLink::Send(std::shared_ptr<const std::string> frame) {
  if (is_closed_) return;
  if (unsent_.size() >= kMaxUnsentFrames) {
    // Deferred, because `on_closed` must not run inside the caller, which may
    // be iterating over its links.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->CloseAndReport("unread"); });
    return;
  }
  unsent_.push_back(std::move(frame));
  if (unsent_.size() == 1) Write();
}

void ContentsLink::Write() {
  asio::async_write(socket_, asio::buffer(*unsent_.front()),
                    [self = shared_from_this(), frame = unsent_.front()](
                        boost::system::error_code error, std::size_t) {
                      // The pending read reports a failed write.
                      if (error || self->is_closed_) return;
                      self->unsent_.pop_front();
                      if (!self->unsent_.empty()) self->Write();
                    });
}

void ContentsLink::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  received_ = {};
  unsent_.clear();
  boost::system::error_code ignored;  // The socket is discarded either way.
  socket_.close(ignored);
}

void ContentsLink::CloseAndReport(std::string_view cause) {
  if (is_closed_) return;
  const auto on_closed = std::move(options_.on_closed);
  Close();
  if (on_closed) on_closed(cause);
}

}  // namespace lacewingknot::edge::internal
