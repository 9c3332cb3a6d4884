#include "testing/fault_proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace lacewingknot::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

struct FaultProxy::Pipe {
  explicit Pipe(asio::io_context& io) : client(io), target(io) {}

  tcp::socket client;
  tcp::socket target;
  std::array<char, 8192> up{};
  std::array<char, 8192> down{};
};

FaultProxy::FaultProxy(asio::io_context& io, std::uint16_t target)
    : io_(io),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      target_(target) {
  Accept();
}

void FaultProxy::set_fault(Fault fault) {
  const bool swallowed =
      fault_ == Fault::kSilent || fault_ == Fault::kCutAnswers;
  fault_ = fault;
  if (swallowed || fault == Fault::kReset) ResetAll();
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto pipe = std::make_shared<Pipe>(io_);
      pipe->client = std::move(socket);
      boost::system::error_code failed;
      pipe->target.connect({asio::ip::address_v4::loopback(), target_}, failed);
      if (failed || fault_ == Fault::kReset) {
        Reset(pipe);
      } else {
        pipes_.push_back(pipe);
        Pump(pipe, true);
        Pump(pipe, false);
      }
    }
    Accept();
  });
}

void FaultProxy::Pump(const std::shared_ptr<Pipe>& pipe, bool to_target) {
  tcp::socket& from = to_target ? pipe->client : pipe->target;
  auto& buffer = to_target ? pipe->up : pipe->down;
  from.async_read_some(
      asio::buffer(buffer),
      [this, pipe, to_target](boost::system::error_code error,
                              std::size_t bytes) {
        if (error) {
          Reset(pipe);
          pipes_.remove(pipe);
          return;
        }
        const bool dropped = fault_ == Fault::kSilent ||
                             (fault_ == Fault::kCutAnswers && !to_target);
        if (dropped) {
          Pump(pipe, to_target);
          return;
        }
        constexpr std::chrono::milliseconds kDelay{50};
        auto timer = std::make_shared<asio::steady_timer>(
            io_,
            fault_ == Fault::kDelay ? kDelay : std::chrono::milliseconds(0));
        timer->async_wait([this, pipe, to_target, bytes,
                           timer](boost::system::error_code) {
          tcp::socket& into = to_target ? pipe->target : pipe->client;
          auto& data = to_target ? pipe->up : pipe->down;
          asio::async_write(into, asio::buffer(data.data(), bytes),
                            [this, pipe, to_target](
                                boost::system::error_code failed, std::size_t) {
                              if (failed) {
                                Reset(pipe);
                              } else {
                                Pump(pipe, to_target);
                              }
                            });
        });
      });
}

void FaultProxy::Reset(const std::shared_ptr<Pipe>& pipe) {
  for (tcp::socket* socket : {&pipe->client, &pipe->target}) {
    boost::system::error_code ignored;  // It may be closed already.
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void FaultProxy::ResetAll() {
  for (const auto& pipe : pipes_) Reset(pipe);
  pipes_.clear();
}

}  // namespace lacewingknot::testing
