#include "lacewingknot/edge/internal/frame.h"

#include "lacewingknot/edge/internal/object_count.h"

namespace lacewingknot::edge::internal {
namespace {

constexpr std::size_t kLengthPrefixBytes = 4;

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kLengthPrefixBytes + payload.size());
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    frame +=
        static_cast<char>(payload.size() >> (8 * (kLengthPrefixBytes - 1 - i)));
  }
  frame.append(payload);
  return frame;
}

Result<std::optional<std::string_view>> FindFrame(const std::string& received,
                                                  const FrameLimits& limits) {
  if (received.size() < kLengthPrefixBytes) {
    return std::optional<std::string_view>();
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(received[i]);
  }
  if (length > limits.max_bytes) {
    return Error{
        ErrorType::kPeerProtocol,
        "frame length " + std::to_string(length) + " exceeds the limit"};
  }
  if (received.size() < kLengthPrefixBytes + length) {
    return std::optional<std::string_view>();
  }
  const std::string_view payload(received.data() + kLengthPrefixBytes, length);
  if (HasMoreObjects(payload, limits.max_objects)) {
    return Error{ErrorType::kPeerProtocol,
                 "more objects than a message can have"};
  }
  return std::optional<std::string_view>(payload);
}

void RemoveFrame(std::string& received, std::size_t payload_bytes) {
  received.erase(0, kLengthPrefixBytes + payload_bytes);
}

}  // namespace lacewingknot::edge::internal
