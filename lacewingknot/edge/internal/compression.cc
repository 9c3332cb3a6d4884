#include "lacewingknot/edge/internal/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace lacewingknot::edge::internal {
namespace {

// Higher levels save a tenth of the bytes for several times the processor time.
constexpr int kLevel = 1;
constexpr std::size_t kBlockBytes = 16'384;

// zlib's interface takes input that it does not change as non-const.
Bytef* InputOf(std::string_view bytes) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(static_cast<uLong>(bytes.size()));
  std::string compressed(size, '\0');
  // Fails only if the buffer is too small, which compressBound() excludes.
  compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, InputOf(bytes),
            static_cast<uLong>(bytes.size()), kLevel);
  compressed.resize(size);
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return Error{ErrorType::kPeerProtocol, "decompression cannot start"};
  }
  stream.next_in = InputOf(compressed);
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string bytes;
  std::array<char, kBlockBytes> block{};
  int status = Z_OK;
  while (status == Z_OK && bytes.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(block.data());
    stream.avail_out = static_cast<uInt>(block.size());
    status = inflate(&stream, Z_NO_FLUSH);
    bytes.append(block.data(), block.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || bytes.size() > max_bytes) {
    return Error{ErrorType::kPeerProtocol,
                 "compressed items are malformed or too large"};
  }
  return bytes;
}

}  // namespace lacewingknot::edge::internal
