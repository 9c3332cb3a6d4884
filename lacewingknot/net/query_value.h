// Percent-encoding of values in the query of a URL (RFC 3986).
//
// Thread-safe: free functions without shared state.

#ifndef LACEWINGKNOT_NET_QUERY_VALUE_H_
#define LACEWINGKNOT_NET_QUERY_VALUE_H_

#include <string>
#include <string_view>

namespace lacewingknot {

// Encodes `text` for use as the value of a query parameter.
std::string EncodeQueryValue(std::string_view text);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_NET_QUERY_VALUE_H_
