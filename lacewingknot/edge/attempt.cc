#include "lacewingknot/edge/attempt.h"

namespace lacewingknot::edge {

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kRefused:
      return "refused";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kLost:
      return "lost";
  }
  return "unknown";
}

std::string_view AttemptKindName(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kFirst:
      return "first";
    case AttemptKind::kHedge:
      return "hedge";
    case AttemptKind::kRetry:
      return "retry";
  }
  return "unknown";
}

}  // namespace lacewingknot::edge
