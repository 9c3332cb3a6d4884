// What listeners on the traffic thread do alike.

#ifndef LACEWINGKNOT_EDGE_INTERNAL_LISTENING_H_
#define LACEWINGKNOT_EDGE_INTERNAL_LISTENING_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "lacewingknot/base/clock.h"
#include "lacewingknot/base/error.h"

namespace lacewingknot::edge::internal {

// Pause after an accept that failed for want of descriptors.
inline constexpr Duration kAcceptRetry = std::chrono::milliseconds(50);

// Opens `acceptor` at `listen` (IP:PORT); kConnectFailed if that fails.
Result<void> BindAndListen(boost::asio::ip::tcp::acceptor& acceptor,
                           std::string_view listen);

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_LISTENING_H_
