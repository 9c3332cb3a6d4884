// A limit on the bytes that the process holds of incomplete and unsent answers.
//
// Load pattern: faulty upstreams send bytes without end on many connections at
// once. Each answer may grow only to a share of what the others leave free, so
// the faulty ones end early and free their bytes, while ordinary answers beside
// them still fit. A small answer always fits.
//
// Units: bytes of payload; the memory used may be up to twice that, because a
// growing string doubles its capacity.
//
// Not thread-safe. Pure: no clock, no I/O.
//
// Example:
//   auto budget = std::make_shared<AnswerBudget>(AnswerBudget::Options{});
//   AnswerBudget::Reservation held(budget);
//   if (!held.TryGrow(bytes.size())) EndAttempt();  // Frees what was held.

#ifndef LACEWINGKNOT_POLICY_ANSWER_BUDGET_H_
#define LACEWINGKNOT_POLICY_ANSWER_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace lacewingknot {

class AnswerBudget {
 public:
  struct Options {
    std::size_t total_bytes = 26 << 20;
    // An answer alone may hold `total_bytes` divided by this; beside others,
    // less in proportion to the square of the share that they leave free.
    std::size_t divisor = 3;
    // Every answer may hold this many bytes, even beyond `total_bytes`.
    std::size_t guaranteed_bytes = 16 << 10;
  };

  // The bytes held of one answer; freed with the object. A default-constructed
  // one has no budget and grows without a limit.
  class Reservation {
   public:
    Reservation() = default;
    explicit Reservation(std::shared_ptr<AnswerBudget> budget)
        : budget_(std::move(budget)) {}
    ~Reservation() { Resize(0); }
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Holds `bytes` more if they fit; returns whether they do.
    bool TryGrow(std::size_t bytes);
    // Frees all but `bytes`, which must not be more than bytes().
    void ShrinkTo(std::size_t bytes) { Resize(bytes); }

    std::size_t bytes() const { return bytes_; }

   private:
    void Resize(std::size_t bytes);

    std::shared_ptr<AnswerBudget> budget_;
    std::size_t bytes_ = 0;
  };

  explicit AnswerBudget(Options options) : options_(options) {}

  // The most that an answer may hold if all others hold `held_by_others`.
  std::size_t LimitBeside(std::size_t held_by_others) const;
  std::size_t held_bytes() const { return held_bytes_; }

 private:
  Options options_;
  std::size_t held_bytes_ = 0;
};

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_ANSWER_BUDGET_H_
