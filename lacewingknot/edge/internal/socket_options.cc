#include "lacewingknot/edge/internal/socket_options.h"

#include <netinet/tcp.h>

namespace lacewingknot::edge::internal {
namespace {

template <int Name>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

}  // namespace

void SetUpstreamSocketOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds),
                    ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUnacknowledgedMs), ignored);
}

}  // namespace lacewingknot::edge::internal
