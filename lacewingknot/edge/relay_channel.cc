#include "lacewingknot/edge/relay_channel.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/internal/socket_options.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

RelayChannel::RelayChannel(asio::ip::tcp::socket socket, Options options)
    : socket_(std::move(socket)),
      options_(std::move(options)),
      held_received_(options_.budget),
      held_unsent_(options_.budget) {}

void RelayChannel::Start() {
  internal::SetUpstreamSocketOptions(socket_);
  boost::system::error_code ignored;  // The first read reports any failure.
  socket_.non_blocking(true, ignored);
  Read();
}

void RelayChannel::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void RelayChannel::OnRead(boost::system::error_code error, std::size_t bytes) {
  if (is_closed_) return;
  if (error) {
    CloseAndReport("connection_lost");
    return;
  }
  if (!held_received_.TryGrow(bytes)) {
    CloseAndReport(kCauseAnswerBudget);
    return;
  }
  received_.append(read_buffer_.data(), bytes);
  while (!is_closed_) {
    auto message = ExtractRelayFrame(received_);
    if (!message) {
      LogEvent(Event::kPeerMessageMalformed,
               {{"reason", message.error().detail}});
      CloseAndReport("malformed");
      return;
    }
    if (!message.value()) break;
    held_received_.ShrinkTo(received_.size());
    options_.on_message(std::move(*message.value()));
  }
  if (!is_closed_) Read();
}

void RelayChannel::Send(const RelayMessage& message) {
  if (is_closed_) return;
  std::string frame = EncodeRelayFrame(message);
  std::size_t written = 0;
  if (write_buffer_.empty() && unsent_.empty()) {
    boost::system::error_code error;
    written = socket_.write_some(asio::buffer(frame), error);
    // The pending read reports a broken connection.
    if (error && error != asio::error::would_block) return;
    if (written == frame.size()) return;
  }
  unsent_.append(frame, written);
  if (!held_unsent_.TryGrow(frame.size() - written) ||
      unsent_.size() > kMaxUnsentBytes) {
    // Deferred, because `on_closed` must not run inside the caller, which is
    // still updating its own state.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->CloseAndReport("peer_does_not_read");
    });
    return;
  }
  if (write_buffer_.empty()) WriteUnsent();
}

void RelayChannel::WriteUnsent() {
  write_buffer_ = std::exchange(unsent_, {});
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this()](boost::system::error_code error,
                                                std::size_t) {
                      self->write_buffer_ = {};
                      self->held_unsent_.ShrinkTo(std::min(
                          self->held_unsent_.bytes(), self->unsent_.size()));
                      // The pending read reports a failed write.
                      if (error || self->is_closed_ || self->unsent_.empty()) {
                        return;
                      }
                      self->WriteUnsent();
                    });
}

void RelayChannel::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  received_ = {};
  unsent_ = {};
  held_received_ = {};
  held_unsent_ = {};
  boost::system::error_code ignored;  // The socket is discarded either way.
  socket_.close(ignored);
}

void RelayChannel::CloseAndReport(std::string_view cause) {
  if (is_closed_) return;
  const auto on_closed = std::move(options_.on_closed);
  Close();
  if (on_closed) on_closed(cause);
}

}  // namespace lacewingknot::edge
