// Error types and the result of functions that can fail.
//
// Every function that can fail returns `Result<T>`: a value or an `Error` with
// an `ErrorType`. Callers branch on the type only; the detail is free text for
// people. Result is built on Boost.Outcome instead of Boost.LEAF; for the
// reason see docs/design/libraries.md.
//
// Calling value() on a result without a value, or error() on one without an
// error, terminates the process.
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
  // The caller's request is invalid.
  kInvalidRequest,
  kRequestTooLarge,
  kUnknownService,
  kDeadlineTooShort,
  // This daemon refused the request and did not run it.
  kNotReady,
  kOverloaded,
  kDraining,
  kNoUsableUpstream,
  kDuplicateWrite,
  // One attempt at an upstream failed.
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
  // A settings document was refused, or the platform did not answer.
  kInvalidSettings,
  kStaleRevision,
  kRevisionConflict,
  kPlatformUnavailable,
  // An exchange with another daemon failed.
  kPeerUnreachable,
  kPeerProtocol,
  // A write may or may not have run.
  kOutcomeUnknown,
};

// Returns the snake_case name of `type`. Names are stable: answers, metrics and
// logs use them.
std::string_view ErrorTypeName(ErrorType type);

// Inverse of ErrorTypeName. Returns nullopt for an unknown name.
std::optional<ErrorType> ErrorTypeFromName(std::string_view name);

struct Error {
  ErrorType type;
  std::string detail;
};

template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

// Returns the success value of a Result<void>.
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BASE_ERROR_H_
