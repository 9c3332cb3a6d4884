#include "lacewingknot/edge/relay_channel.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "lacewingknot/base/event_log.h"
#include "lacewingknot/edge/internal/socket_options.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

RelayChannel::RelayChannel(asio::ip::tcp::socket socket, Options options)
    : socket_(std::move(socket)), options_(std::move(options)) {}

void RelayChannel::Start() {
  internal::SetUpstreamSocketOptions(socket_);
  boost::system::error_code ignored;  // Failure shows on the first read.
  socket_.non_blocking(true, ignored);
  Read();
}

void RelayChannel::Read() {
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void RelayChannel::OnRead(boost::system::error_code error, std::size_t bytes) {
  if (closed_) return;
  if (error) {
    End("connection_lost");
    return;
  }
  received_.append(chunk_.data(), bytes);
  while (!closed_) {
    auto message = TakeRelayFrame(received_);
    if (!message) {
      LogEvent(Event::kPeerMessageMalformed,
               {{"reason", message.error().detail}});
      End("malformed");
      return;
    }
    if (!message.value()) break;
    options_.on_message(std::move(*message.value()));
  }
  if (!closed_) Read();
}

void RelayChannel::Send(const RelayMessage& message) {
  if (closed_) return;
  std::string frame = EncodeRelayFrame(message);
  std::size_t written = 0;
  if (writing_.empty() && unsent_.empty()) {
    boost::system::error_code error;
    written = socket_.write_some(asio::buffer(frame), error);
    // A broken connection ends through the outstanding read.
    if (error && error != asio::error::would_block) return;
    if (written == frame.size()) return;
  }
  unsent_.append(frame, written);
  if (unsent_.size() > kMaxUnsent) {
    // Not from here: the sender is in the middle of a decision.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->End("peer_does_not_read");
    });
    return;
  }
  if (writing_.empty()) WriteRest();
}

void RelayChannel::WriteRest() {
  writing_ = std::exchange(unsent_, {});
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](boost::system::error_code error,
                                                std::size_t) {
                      self->writing_.clear();
                      // A failed write ends through the outstanding read.
                      if (error || self->closed_ || self->unsent_.empty()) {
                        return;
                      }
                      self->WriteRest();
                    });
}

void RelayChannel::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;  // Nothing is left to do about it.
  socket_.close(ignored);
}

void RelayChannel::End(std::string_view cause) {
  if (closed_) return;
  const auto on_closed = std::move(options_.on_closed);
  Close();
  if (on_closed) on_closed(cause);
}

}  // namespace lacewingknot::edge
