// A server that sends bytes without end instead of a complete answer.
//
// Example:
//   const auto server = std::make_shared<EndlessServer>(
//       io, EndlessAnswer{.name = "Head",
//                         .begin = "HTTP/1.1 200 OK\r\n",
//                         .repeat = "X-A: b\r\n"});
//   server->Start();

#ifndef TESTING_ENDLESS_SERVER_H_
#define TESTING_ENDLESS_SERVER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace lacewingknot::testing {

struct EndlessAnswer {
  const char* name;
  std::string begin;
  std::string repeat;
  std::size_t max_sent_bytes;          // The most that the daemon may accept.
  std::size_t stall_after = SIZE_MAX;  // Bytes after which nothing is sent.
  bool is_unasked = false;             // Sent without awaiting a request.
};

// Accepts one connection, reads a request and sends the answer until the peer
// closes the connection. Not thread-safe.
class EndlessServer : public std::enable_shared_from_this<EndlessServer> {
 public:
  EndlessServer(boost::asio::io_context& io, const EndlessAnswer& answer)
      : answer_(answer),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io) {}

  void Start() {
    acceptor_.async_accept(
        socket_, [self = shared_from_this()](boost::system::error_code error) {
          if (error) return;
          if (self->answer_.is_unasked) {
            self->Write(self->answer_.begin);
            return;
          }
          self->socket_.async_read_some(
              boost::asio::buffer(self->request_),
              [self](boost::system::error_code, std::size_t) {
                self->Write(self->answer_.begin);
              });
        });
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  bool closed() const { return closed_; }
  std::size_t sent() const { return sent_; }

 private:
  void Write(const std::string& bytes) {
    boost::asio::async_write(
        socket_, boost::asio::buffer(bytes),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t written) {
          self->sent_ += written;
          if (error) {
            self->closed_ = true;
          } else if (self->sent_ < self->answer_.stall_after) {
            self->Write(self->answer_.repeat);
          } else {
            self->AwaitClose();
          }
        });
  }

  void AwaitClose() {
    socket_.async_read_some(boost::asio::buffer(request_),
                            [self = shared_from_this()](
                                boost::system::error_code error, std::size_t) {
                              self->closed_ = static_cast<bool>(error);
                            });
  }

  const EndlessAnswer answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> request_{};
  std::size_t sent_ = 0;
  bool closed_ = false;
};

}  // namespace lacewingknot::testing

#endif  // TESTING_ENDLESS_SERVER_H_
