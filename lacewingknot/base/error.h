// Typed failures.
//
// Every function that can fail returns `Result<T>`: a value or an `Error` with
// an `ErrorType`. Callers decide on the type; the detail is for people only.
// Boost.Outcome stands in for Boost.LEAF (see docs/design/libraries.md).
//
// Example:
//   Result<int> port = ParsePort(text);
//   if (!port) return port.error();
//   Use(port.value());

#ifndef LACEWINGKNOT_BASE_ERROR_H_
#define LACEWINGKNOT_BASE_ERROR_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingknot {

enum class ErrorType {
  // The caller's request.
  kInvalidRequest,
  kRequestTooLarge,
  kUnknownService,
  kDeadlineTooShort,
  // Refusals by this daemon; the request was not run.
  kNotReady,
  kOverloaded,
  kDraining,
  kNoUsableUpstream,
  kDuplicateWrite,
  // One attempt at an upstream.
  kConnectFailed,
  kNotSent,
  kConnectionLost,
  kTimeout,
  kShed,
  kUpstreamDraining,
  kVersionGone,
  kWrongShard,
  kMismatchedAnswer,
  kMalformedAnswer,
  kUpstreamError,
  kCancelled,
  kDeadlineExceeded,
  kLimitReached,
  // Settings and platform.
  kInvalidSettings,
  kStaleRevision,
  kRevisionConflict,
  kPlatformUnavailable,
  // Peers.
  kPeerUnreachable,
  kPeerProtocol,
  // Outcome of a write that may have run.
  kOutcomeUnknown,
};

// Stable snake_case name, used in answers, metrics and logs.
std::string_view ErrorTypeName(ErrorType type);

// Inverse of ErrorTypeName; empty for a name it does not know.
std::optional<ErrorType> ErrorTypeFromName(std::string_view name);

struct Error {
  ErrorType type;
  std::string detail;
};

template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

// The value of a Result<void> that succeeded.
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BASE_ERROR_H_
