// Socket options that bound the time until a dead peer is detected.

#ifndef LACEWINGKNOT_EDGE_INTERNAL_SOCKET_OPTIONS_H_
#define LACEWINGKNOT_EDGE_INTERNAL_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace lacewingknot::edge::internal {

// Keep-alive probes start after 1 s of idle time, one per second. Two
// unanswered probes, or data unacknowledged for 2.5 s, close the connection.
// The values leave time before the deadline to answer a request that must not
// run twice.
inline constexpr int kKeepAliveIdleSeconds = 1;
inline constexpr int kKeepAliveIntervalSeconds = 1;
inline constexpr int kKeepAliveProbes = 2;
inline constexpr int kUnacknowledgedMs = 2'500;

// Disables Nagle's algorithm and enables the detection of a dead peer. Failures
// are ignored: the connection works without these options.
void SetUpstreamSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_SOCKET_OPTIONS_H_
