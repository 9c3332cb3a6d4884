#include "lacewingknot/peer/message.h"

namespace lacewingknot {
namespace {

// Limits what decoding a message may allocate, whatever lengths it states.
const msgpack::unpack_limit& UnpackLimits() {
  constexpr std::size_t kMaxElements = 100'000;
  constexpr std::size_t kMaxDepth = 8;
  static const msgpack::unpack_limit limits(
      kMaxElements, kMaxElements, kMaxPeerMessageBytes, kMaxPeerMessageBytes,
      kMaxPeerMessageBytes, kMaxDepth);
  return limits;
}

template <typename T>
Result<T> Decode(std::string_view bytes) {
  const Error malformed{
      ErrorType::kPeerProtocol,
      "message is empty, too large or not valid MessagePack of its type"};
  if (bytes.empty() || bytes.size() > kMaxPeerMessageBytes) return malformed;
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, UnpackLimits());
    if (offset != bytes.size()) return malformed;
    return handle->as<T>();
  } catch (const std::exception&) {
    return malformed;
  }
}

}  // namespace

template <typename T>
Result<T> DecodePeerBody(std::string_view bytes) {
  return Decode<T>(bytes);
}

template Result<ExchangeRequest> DecodePeerBody(std::string_view);
template Result<ExchangeReply> DecodePeerBody(std::string_view);
template Result<DocumentRequest> DecodePeerBody(std::string_view);
template Result<DocumentReply> DecodePeerBody(std::string_view);
template Result<RelayRequest> DecodePeerBody(std::string_view);
template Result<RelayReply> DecodePeerBody(std::string_view);

std::string EncodeEnvelope(const PeerEnvelope& envelope) {
  return EncodePeerBody(envelope);
}

Result<PeerEnvelope> DecodeEnvelope(std::string_view bytes) {
  Result<PeerEnvelope> envelope = Decode<PeerEnvelope>(bytes);
  if (!envelope) return envelope;
  if (envelope.value().protocol != kPeerProtocolVersion) {
    return Error{ErrorType::kPeerProtocol,
                 "unsupported protocol version " +
                     std::to_string(envelope.value().protocol)};
  }
  const std::uint32_t kind = envelope.value().kind;
  const bool is_known =
      kind >= static_cast<std::uint32_t>(PeerMessageKind::kExchangeRequest) &&
      kind <= static_cast<std::uint32_t>(PeerMessageKind::kRelayReply);
  if (!is_known) {
    return Error{ErrorType::kPeerProtocol,
                 "unknown message kind " + std::to_string(kind)};
  }
  return envelope;
}

}  // namespace lacewingknot
