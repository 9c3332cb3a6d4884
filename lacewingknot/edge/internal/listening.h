// Common parts of the listeners on the traffic thread.

#ifndef LACEWINGKNOT_EDGE_INTERNAL_LISTENING_H_
#define LACEWINGKNOT_EDGE_INTERNAL_LISTENING_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/error.h"

namespace lacewingknot::edge::internal {

// Delay before the next accept after one failed for lack of file descriptors.
inline constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

// Binds `acceptor` to `listen` (IP:PORT) and listens. Returns kConnectFailed if
// the address cannot be bound.
Result<void> BindAndListen(boost::asio::ip::tcp::acceptor& acceptor,
                           std::string_view listen);

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_LISTENING_H_
