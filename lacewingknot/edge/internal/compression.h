// Compression of message bodies (zlib format, RFC 1950).
//
// Example:
//   const std::string packed = Compress(text);
//   const auto text = Decompress(packed, kMaxBytes);
//   if (!text) return text.error();

#ifndef LACEWINGKNOT_EDGE_INTERNAL_COMPRESSION_H_
#define LACEWINGKNOT_EDGE_INTERNAL_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "lacewingknot/base/error.h"

namespace lacewingknot::edge::internal {

std::string Compress(std::string_view bytes);

// Returns kPeerProtocol if `compressed` is malformed or holds more than
// `max_bytes`. Allocates no more than that, whatever `compressed` states.
Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_bytes);

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_COMPRESSION_H_
