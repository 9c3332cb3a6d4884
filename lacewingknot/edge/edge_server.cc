#include "lacewingknot/edge/edge_server.h"

#include <utility>
#include <vector>

#include "lacewingknot/edge/internal/listening.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

EdgeServer::EdgeServer(Options options)
    : options_(std::move(options)), acceptor_(options_.core->io()) {}

Result<void> EdgeServer::Listen() {
  if (const auto bound = internal::BindAndListen(acceptor_, options_.listen);
      !bound) {
    return bound.error();
  }
  Accept();
  return Ok();
}

void EdgeServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      options_.core->timers().At(BootClock::now() + internal::kAcceptRetryDelay,
                                 [this] { Accept(); });
      return;
    }
    auto connection = std::make_shared<ClientConnection>(
        std::move(socket), ClientConnection::Options{
                               .core = options_.core,
                               .is_draining = [this] { return is_draining_; },
                               .on_closed =
                                   [this](ClientConnection* closed) {
                                     connections_.erase(closed);
                                   }});
    connections_.emplace(connection.get(), connection);
    connection->Start();
    Accept();
  });
}

void EdgeServer::Drain(std::function<void()> done) {
  if (is_draining_) return;
  is_draining_ = true;
  drain_started_ = BootClock::now();
  on_drained_ = std::move(done);
  ContinueDrain();
}

void EdgeServer::ContinueDrain() {
  const Duration elapsed = BootClock::now() - drain_started_;
  if (elapsed >= kBalancerNoticePeriod) {
    boost::system::error_code ignored;  // A second close has no effect.
    acceptor_.close(ignored);
    std::vector<std::shared_ptr<ClientConnection>> open;
    for (const auto& [key, connection] : connections_) {
      open.push_back(connection);
    }
    for (const auto& connection : open) connection->CloseIfIdle();
    if (connections_.empty() || elapsed >= options_.stop_grace - kExitMargin) {
      std::exchange(on_drained_, nullptr)();
      return;
    }
  }
  options_.core->timers().At(BootClock::now() + kDrainPollInterval,
                             [this] { ContinueDrain(); });
}

}  // namespace lacewingknot::edge
