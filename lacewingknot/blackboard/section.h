// One published value of a blackboard.
//
// A section holds one immutable value and has one writer. A reader gets a
// consistent value without waiting for the writer, and can tell by the
// generation, one atomic load, that nothing has changed. Thread-safe.

#ifndef LACEWINGKNOT_BLACKBOARD_SECTION_H_
#define LACEWINGKNOT_BLACKBOARD_SECTION_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace lacewingknot {

template <typename T>
class Section {
 public:
  void Publish(T value) {
    value_.store(std::make_shared<const T>(std::move(value)));
    generation_.fetch_add(1);
  }

  // Null until the first Publish.
  std::shared_ptr<const T> Read() const { return value_.load(); }

  // Number of values published.
  std::uint64_t generation() const { return generation_.load(); }

 private:
  std::atomic<std::shared_ptr<const T>> value_;
  std::atomic<std::uint64_t> generation_{0};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BLACKBOARD_SECTION_H_
