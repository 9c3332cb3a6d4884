#include "testing/fault_proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace lacewingknot::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

struct FaultProxy::ProxiedConnection {
  explicit ProxiedConnection(asio::io_context& io) : client(io), target(io) {}

  tcp::socket client;
  tcp::socket target;
  bool is_severed = false;
  std::array<char, 8192> to_target_buffer{};
  std::array<char, 8192> to_client_buffer{};
};

FaultProxy::FaultProxy(asio::io_context& io, std::uint16_t target)
    : io_(io),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
      target_port_(target) {
  Accept();
}

void FaultProxy::set_fault(Fault fault) {
  const bool has_discarded_bytes =
      fault_ == Fault::kSilent || fault_ == Fault::kDropReplies;
  fault_ = fault;
  if (has_discarded_bytes || fault == Fault::kReset) ResetAll();
}

void FaultProxy::SeverOpen() {
  for (const auto& connection : connections_) connection->is_severed = true;
}

void FaultProxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
          auto connection = std::make_shared<ProxiedConnection>(io_);
          connection->client = std::move(socket);
          boost::system::error_code failed;
          connection->target.connect(
              {asio::ip::address_v4::loopback(), target_port_}, failed);
          if (failed || fault_ == Fault::kReset) {
            Reset(connection);
          } else {
            connections_.push_back(connection);
            Forward(connection, true);
            Forward(connection, false);
          }
        }
        Accept();
      });
}

void FaultProxy::Forward(const std::shared_ptr<ProxiedConnection>& connection,
                         bool to_target) {
  tcp::socket& source = to_target ? connection->client : connection->target;
  auto& buffer =
      to_target ? connection->to_target_buffer : connection->to_client_buffer;
  source.async_read_some(
      asio::buffer(buffer),
      [this, connection, to_target](boost::system::error_code error,
                                    std::size_t bytes) {
        // The client of a severed connection does not learn of its end.
        if (error && connection->is_severed && !to_target) return;
        if (error) {
          Reset(connection);
          connections_.remove(connection);
          return;
        }
        const bool is_discarded = connection->is_severed ||
                                  fault_ == Fault::kSilent ||
                                  (fault_ == Fault::kDropReplies && !to_target);
        if (is_discarded) {
          Forward(connection, to_target);
          return;
        }
        constexpr std::chrono::milliseconds kDelay{50};
        auto timer = std::make_shared<asio::steady_timer>(
            io_,
            fault_ == Fault::kDelay ? kDelay : std::chrono::milliseconds(0));
        timer->async_wait([this, connection, to_target, bytes,
                           timer](boost::system::error_code) {
          tcp::socket& destination =
              to_target ? connection->target : connection->client;
          auto& data = to_target ? connection->to_target_buffer
                                 : connection->to_client_buffer;
          asio::async_write(destination, asio::buffer(data.data(), bytes),
                            [this, connection, to_target](
                                boost::system::error_code failed, std::size_t) {
                              if (failed) {
                                Reset(connection);
                              } else {
                                Forward(connection, to_target);
                              }
                            });
        });
      });
}

void FaultProxy::Reset(const std::shared_ptr<ProxiedConnection>& connection) {
  for (tcp::socket* socket : {&connection->client, &connection->target}) {
    boost::system::error_code ignored;  // It may be closed already.
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void FaultProxy::ResetAll() {
  for (const auto& connection : connections_) {
    if (!connection->is_severed) Reset(connection);
  }
  connections_.remove_if(
      [](const auto& connection) { return !connection->is_severed; });
}

}  // namespace lacewingknot::testing
