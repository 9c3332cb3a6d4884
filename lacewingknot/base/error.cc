#include "lacewingknot/base/error.h"

#include <array>
#include <utility>

namespace lacewingknot {
namespace {

constexpr std::array<std::pair<ErrorType, std::string_view>, 30> kNames{{
    {ErrorType::kInvalidRequest, "invalid_request"},
    {ErrorType::kRequestTooLarge, "request_too_large"},
    {ErrorType::kUnknownService, "unknown_service"},
    {ErrorType::kDeadlineTooShort, "deadline_too_short"},
    {ErrorType::kNotReady, "not_ready"},
    {ErrorType::kOverloaded, "overloaded"},
    {ErrorType::kDraining, "draining"},
    {ErrorType::kNoUsableUpstream, "no_usable_upstream"},
    {ErrorType::kDuplicateWrite, "duplicate_write"},
    {ErrorType::kConnectFailed, "connect_failed"},
    {ErrorType::kNotSent, "not_sent"},
    {ErrorType::kConnectionLost, "connection_lost"},
    {ErrorType::kTimeout, "timeout"},
    {ErrorType::kShed, "shed"},
    {ErrorType::kUpstreamDraining, "upstream_draining"},
    {ErrorType::kVersionGone, "version_gone"},
    {ErrorType::kWrongShard, "wrong_shard"},
    {ErrorType::kMismatchedAnswer, "mismatched_answer"},
    {ErrorType::kMalformedAnswer, "malformed_answer"},
    {ErrorType::kUpstreamError, "upstream_error"},
    {ErrorType::kCancelled, "cancelled"},
    {ErrorType::kDeadlineExceeded, "deadline_exceeded"},
    {ErrorType::kLimitReached, "limit_reached"},
    {ErrorType::kInvalidSettings, "invalid_settings"},
    {ErrorType::kStaleRevision, "stale_revision"},
    {ErrorType::kRevisionConflict, "revision_conflict"},
    {ErrorType::kPlatformUnavailable, "platform_unavailable"},
    {ErrorType::kPeerUnreachable, "peer_unreachable"},
    {ErrorType::kPeerProtocol, "peer_protocol"},
    {ErrorType::kOutcomeUnknown, "outcome_unknown"},
}};

}  // namespace

std::string_view ErrorTypeName(ErrorType type) {
  for (const auto& [known, name] : kNames) {
    if (known == type) return name;
  }
  return "unknown";
}

std::optional<ErrorType> ErrorTypeFromName(std::string_view name) {
  for (const auto& [type, known] : kNames) {
    if (known == name) return type;
  }
  return std::nullopt;
}

}  // namespace lacewingknot
