// Frames of the links between daemons: a big-endian length of four bytes and a
// MessagePack value of that length.
//
// Thread-safe: free functions without shared state.
//
// Example:
//   Write(EncodeFrame({bytes.data(), bytes.size()}));
//   const auto message =
//       ExtractFrame<Ping>(received, {.max_bytes = 256, .max_objects = 64},
//                          [](const msgpack::object& object) {
//                            return object.as<Ping>();
//                          });

#ifndef LACEWINGKNOT_EDGE_INTERNAL_FRAME_H_
#define LACEWINGKNOT_EDGE_INTERNAL_FRAME_H_

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "lacewingknot/base/error.h"

namespace lacewingknot::edge::internal {

struct FrameLimits {
  std::size_t max_bytes = 0;    // Without the length.
  std::size_t max_objects = 0;  // As in HasMoreObjects().
};

// Returns `payload` with its length in front.
std::string EncodeFrame(std::string_view payload);

// Returns the payload of the first frame in `received`, which stays there;
// empty if the frame is not complete. Returns kPeerProtocol if it exceeds
// `limits`.
Result<std::optional<std::string_view>> FindFrame(const std::string& received,
                                                  const FrameLimits& limits);

// Removes a frame with a payload of `payload_bytes` from `received`.
void RemoveFrame(std::string& received, std::size_t payload_bytes);

// Removes the first frame from `received` and returns what `parse` makes of its
// msgpack::object; empty if the frame is not complete. Returns kPeerProtocol,
// and leaves `received` as it is, if the frame exceeds `limits` or `parse`
// throws.
template <typename Message, typename Parse>
Result<std::optional<Message>> ExtractFrame(std::string& received,
                                            const FrameLimits& limits,
                                            const Parse& parse) {
  const auto payload = FindFrame(received, limits);
  if (!payload) return payload.error();
  if (!payload.value()) return std::optional<Message>();
  try {
    const std::size_t size = payload.value()->size();
    const auto handle = msgpack::unpack(payload.value()->data(), size);
    std::optional<Message> message = parse(handle.get());
    RemoveFrame(received, size);
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorType::kPeerProtocol, error.what()};
  }
}

}  // namespace lacewingknot::edge::internal

#endif  // LACEWINGKNOT_EDGE_INTERNAL_FRAME_H_
