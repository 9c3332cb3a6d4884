// One published value of the blackboard.
//
// A section holds one immutable value and has one writer. A reader gets a
// consistent snapshot without waiting for the writer. To find out whether the
// value has changed since its last Read(), a reader compares generation(),
// which costs one atomic load. Thread-safe.
//
// Example:
//   Section<int> section;
//   section.Publish(17);
//   std::shared_ptr<const int> value = section.Read();

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

  // Returns the value published last; null before the first Publish().
  std::shared_ptr<const T> Read() const { return value_.load(); }

  // Returns the number of values published.
  std::uint64_t generation() const { return generation_.load(); }

 private:
  std::atomic<std::shared_ptr<const T>> value_;
  std::atomic<std::uint64_t> generation_{0};
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_BLACKBOARD_SECTION_H_
