#include "lacewingknot/policy/answer_budget.h"

#include <algorithm>
#include <utility>

namespace lacewingknot {

std::size_t AnswerBudget::LimitBeside(std::size_t held_by_others) const {
  const std::size_t free_bytes =
      options_.total_bytes - std::min(options_.total_bytes, held_by_others);
  // In floating point, because the square may exceed an integer.
  const auto total = static_cast<double>(options_.total_bytes);
  const auto left = static_cast<double>(free_bytes);
  const auto limit = static_cast<std::size_t>(
      left * left / total / static_cast<double>(options_.divisor));
  return std::max(limit, options_.guaranteed_bytes);
}

AnswerBudget::Reservation::Reservation(Reservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

AnswerBudget::Reservation& AnswerBudget::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this == &other) return *this;
  Resize(0);
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool AnswerBudget::Reservation::TryGrow(std::size_t bytes) {
  const std::size_t wanted = bytes_ + bytes;
  if (budget_ && wanted > budget_->LimitBeside(budget_->held_bytes_ - bytes_)) {
    return false;
  }
  Resize(wanted);
  return true;
}

void AnswerBudget::Reservation::Resize(std::size_t bytes) {
  if (budget_) budget_->held_bytes_ = budget_->held_bytes_ - bytes_ + bytes;
  bytes_ = bytes;
}

}  // namespace lacewingknot
