#include "lacewingknot/edge/edge_server.h"

#include <utility>

#include "lacewingknot/edge/internal/listening.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

EdgeServer::EdgeServer(Options options)
    : options_(std::move(options)), acceptor_(options_.core->io()) {
  options_.core->set_on_keys_withdrawn([this] { OnKeysWithdrawn(); });
}

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
  options_.core->set_final_deadline(drain_started_ + options_.stop_grace -
                                    kExitMargin - kFinalAnswerTime);
  ContinueDrain();
}

std::vector<std::shared_ptr<ClientConnection>> EdgeServer::OpenConnections()
    const {
  std::vector<std::shared_ptr<ClientConnection>> open;
  for (const auto& [key, connection] : connections_) open.push_back(connection);
  return open;
}

void EdgeServer::OnKeysWithdrawn() {
  for (const auto& connection : OpenConnections()) {
    connection->OnKeysWithdrawn();
  }
}

void EdgeServer::ContinueDrain() {
  const TimePoint now = BootClock::now();
  const Duration elapsed = now - drain_started_;
  if (now >= options_.core->final_deadline()) {
    for (const auto& connection : OpenConnections()) {
      connection->ExpireRequest();
    }
  }
  if (elapsed >= kBalancerNoticePeriod) {
    boost::system::error_code ignored;  // A second close has no effect.
    acceptor_.close(ignored);
    for (const auto& connection : OpenConnections()) connection->CloseIfIdle();
    if (connections_.empty() || elapsed >= options_.stop_grace - kExitMargin) {
      std::exchange(on_drained_, nullptr)();
      return;
    }
  }
  options_.core->timers().At(BootClock::now() + kDrainPollInterval,
                             [this] { ContinueDrain(); });
}

}  // namespace lacewingknot::edge
