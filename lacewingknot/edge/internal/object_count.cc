#include "lacewingknot/edge/internal/object_count.h"

#include <msgpack.hpp>

namespace lacewingknot::edge::internal {
namespace {

struct ObjectCounter : msgpack::null_visitor {
  explicit ObjectCounter(std::size_t limit) : max(limit) {}

  bool Add(std::size_t count) {
    objects += count;
    return objects <= max;
  }
  bool start_array(std::uint32_t items) { return Add(items); }
  bool start_map(std::uint32_t pairs) { return Add(2 * std::size_t{pairs}); }

  const std::size_t max;
  std::size_t objects = 1;
};

}  // namespace

bool HasMoreObjects(std::string_view bytes, std::size_t max) {
  ObjectCounter counter(max);
  // Whether it is well-formed is left to the decoder.
  (void)msgpack::parse(bytes.data(), bytes.size(), counter);
  return counter.objects > max;
}

}  // namespace lacewingknot::edge::internal
