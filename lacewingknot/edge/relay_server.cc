#include "lacewingknot/edge/relay_server.h"

#include <utility>

#include "lacewingknot/edge/internal/listening.h"

namespace lacewingknot::edge {

namespace asio = boost::asio;

RelayServer::RelayServer(Options options)
    : options_(std::move(options)), acceptor_(options_.core->io()) {}

Result<void> RelayServer::Listen() {
  if (const auto bound = internal::BindAndListen(acceptor_, options_.listen);
      !bound) {
    return bound.error();
  }
  Accept();
  return Ok();
}

void RelayServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      options_.core->timers().At(BootClock::now() + internal::kAcceptRetryDelay,
                                 [this] { Accept(); });
      return;
    }
    auto session = std::make_shared<RelaySession>(RelaySession::Options{
        .core = options_.core, .on_closed = [this](RelaySession* closed) {
          sessions_.erase(closed);
        }});
    sessions_.emplace(session.get(), session);
    session->Start(std::move(socket));
    if (stopping_) session->AnnounceStop();
    Accept();
  });
}

void RelayServer::AnnounceStop() {
  stopping_ = true;
  for (const auto& [key, session] : sessions_) session->AnnounceStop();
}

}  // namespace lacewingknot::edge
