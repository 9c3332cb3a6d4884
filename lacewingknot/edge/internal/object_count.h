// Limits what a MessagePack message of a peer may claim to hold, before it is
// decoded: an object in memory is many times larger than its encoding, and an
// array is allocated by the size that it claims.
//
// Thread-safe: a free function without shared state.

#ifndef LACEWINGKNOT_EDGE_INTERNAL_OBJECT_COUNT_H_
#define LACEWINGKNOT_EDGE_INTERNAL_OBJECT_COUNT_H_

#include <cstddef>
#include <string_view>

namespace lacewingknot::edge::internal {

// Whether the message in `bytes`, well-formed or not, claims more than `max`
// objects, those inside arrays and maps included. Allocates no more than a
// message of `max` objects needs.
bool HasMoreObjects(std::string_view bytes, std::size_t max);

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_OBJECT_COUNT_H_
