// The layout of a StatementReport in messages between daemons.
//
// Thread-safe: free functions without shared state.

#ifndef LACEWINGKNOT_EDGE_INTERNAL_STATEMENT_CODEC_H_
#define LACEWINGKNOT_EDGE_INTERNAL_STATEMENT_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "lacewingknot/policy/statement_table.h"

namespace lacewingknot::edge {

// Upstream, incarnation, whether it leaves, milliseconds of its wait, its rate
// in thousandths of a request per second or -1 for none, and milliseconds since
// the answer.
using WireStatement = std::tuple<std::string, std::int64_t, bool, std::int64_t,
                                 std::int64_t, std::int64_t>;

std::vector<WireStatement> EncodeStatements(
    std::span<const StatementReport> reports);

// Throws msgpack::type_error if there are more than `max` reports or one makes
// no sense.
std::vector<StatementReport> DecodeStatements(
    std::span<const WireStatement> wire, std::size_t max);

}  // namespace lacewingknot::edge

#endif  // LACEWINGKNOT_EDGE_INTERNAL_STATEMENT_CODEC_H_
