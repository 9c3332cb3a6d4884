// Which status codes of answers are accepted.
//
// A server in trouble may send any number in the place of a status, such as
// 000. An answer with another status than these is malformed, as nothing of it
// can be relied on.
//
// Thread-safe: free functions without shared state.

#ifndef LACEWINGKNOT_NET_HTTP_STATUS_H_
#define LACEWINGKNOT_NET_HTTP_STATUS_H_

namespace lacewingknot {

// Whether `status` ends an exchange.
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

// Whether `status` precedes a final one. No request asks for another protocol,
// so 101 (Switching Protocols) is not accepted.
constexpr bool IsInterimStatus(int status) {
  constexpr int kSwitchingProtocols = 101;
  return status >= 100 && status <= 199 && status != kSwitchingProtocols;
}

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_NET_HTTP_STATUS_H_
