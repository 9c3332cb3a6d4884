#include "lacewingknot/edge/internal/statement_codec.h"

#include <algorithm>
#include <cmath>
#include <msgpack.hpp>

namespace lacewingknot::edge {
namespace {

constexpr std::size_t kMaxUpstreamIdBytes = 128;
constexpr std::int64_t kMaxMs = 3'600'000;
constexpr double kRateUnitsPerRequest = 1'000;
constexpr std::int64_t kMaxRateUnits = 1'000'000'000'000;
constexpr std::int64_t kNoRate = -1;

}  // namespace

std::vector<WireStatement> EncodeStatements(
    std::span<const StatementReport> reports) {
  std::vector<WireStatement> wire;
  wire.reserve(reports.size());
  for (const StatementReport& report : reports) {
    // Peers refuse a message with a longer one.
    if (report.upstream.size() > kMaxUpstreamIdBytes) continue;
    wire.emplace_back(report.upstream, report.incarnation, report.is_leaving,
                      ToMillis(report.wait),
                      report.rate
                          ? std::llround(*report.rate * kRateUnitsPerRequest)
                          : kNoRate,
                      std::min(ToMillis(report.age), kMaxMs));
  }
  return wire;
}

std::vector<StatementReport> DecodeStatements(
    std::span<const WireStatement> wire, std::size_t max) {
  if (wire.size() > max) throw msgpack::type_error();
  std::vector<StatementReport> reports;
  reports.reserve(wire.size());
  for (const auto& [upstream, incarnation, is_leaving, wait_ms, rate, age_ms] :
       wire) {
    if (upstream.empty() || upstream.size() > kMaxUpstreamIdBytes ||
        wait_ms < 0 || wait_ms > kMaxMs || age_ms < 0 || age_ms > kMaxMs ||
        rate < kNoRate || rate > kMaxRateUnits) {
      throw msgpack::type_error();
    }
    StatementReport report{.upstream = upstream,
                           .incarnation = incarnation,
                           .is_leaving = is_leaving,
                           .wait = std::chrono::milliseconds(wait_ms),
                           .age = std::chrono::milliseconds(age_ms)};
    if (rate != kNoRate) {
      report.rate = static_cast<double>(rate) / kRateUnitsPerRequest;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace lacewingknot::edge
