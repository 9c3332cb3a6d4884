#include "lacewingknot/edge/internal/listening.h"

#include <string>

#include "lacewingknot/net/http_connection.h"

namespace lacewingknot::edge::internal {

Result<void> BindAndListen(boost::asio::ip::tcp::acceptor& acceptor,
                           std::string_view listen) {
  using boost::asio::socket_base;
  const auto endpoint = ParseEndpoint(listen);
  if (!endpoint) return endpoint.error();
  boost::system::error_code error;
  acceptor.open(endpoint.value().protocol(), error);
  if (!error) acceptor.set_option(socket_base::reuse_address(true));
  if (!error) acceptor.bind(endpoint.value(), error);
  if (!error) acceptor.listen(socket_base::max_listen_connections, error);
  if (error) {
    return Error{
        ErrorType::kConnectFailed,
        "cannot listen on " + std::string(listen) + ": " + error.message()};
  }
  return Ok();
}

}  // namespace lacewingknot::edge::internal
