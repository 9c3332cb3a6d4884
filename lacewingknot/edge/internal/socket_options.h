// Socket options that bound how long a dead peer goes unseen.

#ifndef LACEWINGKNOT_EDGE_INTERNAL_SOCKET_OPTIONS_H_
#define LACEWINGKNOT_EDGE_INTERNAL_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace lacewingknot::edge::internal {

// Keep-alive probes after 1 s of silence, one a second; two unanswered probes,
// or data unacknowledged for 2.5 s, end the connection. The figures leave
// a request that must not run twice time to be answered before its deadline.
inline constexpr int kKeepAliveIdleSeconds = 1;
inline constexpr int kKeepAliveIntervalSeconds = 1;
inline constexpr int kKeepAliveProbes = 2;
inline constexpr int kUnacknowledgedMs = 2'500;

// Low delay and detection of a dead peer. Failures are ignored: the connection
// works without them.
void SetUpstreamSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_SOCKET_OPTIONS_H_
