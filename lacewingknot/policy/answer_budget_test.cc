// Plays answers that grow on many connections at once.

#include "lacewingknot/policy/answer_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace lacewingknot {
namespace {

constexpr std::size_t kTotalBytes = 17 << 20;
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
constexpr std::size_t kStepBytes = 4'096;

class AnswerBudgetTest : public ::testing::Test {
 protected:
  using Reservation = AnswerBudget::Reservation;

  // Grows all of `answers` in turn; those that do not fit start anew.
  static void GrowInTurn(std::vector<Reservation>& answers, int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      for (Reservation& answer : answers) {
        if (!answer.TryGrow(kStepBytes)) answer.ShrinkTo(0);
      }
    }
  }
  std::vector<Reservation> MakeAnswers(std::size_t count) const {
    std::vector<Reservation> answers;
    while (answers.size() < count) answers.emplace_back(budget_);
    return answers;
  }

  std::shared_ptr<AnswerBudget> budget_ = std::make_shared<AnswerBudget>(
      AnswerBudget::Options{.total_bytes = kTotalBytes, .divisor = 2});
};

// Guards against a budget that cuts the largest answer of a calm process.
TEST_F(AnswerBudgetTest, Answer_Alone_MayBeTheLargest) {
  Reservation answer(budget_);
  EXPECT_TRUE(answer.TryGrow(kMaxAnswerBytes + kStepBytes));
  EXPECT_FALSE(answer.TryGrow(kTotalBytes / 2));
}

// Guards against endless answers that take the bytes of ordinary ones.
TEST_F(AnswerBudgetTest, Answer_BesideEndlessOnes_Fits) {
  std::vector<Reservation> endless = MakeAnswers(100);
  for (int round = 0; round < 50; ++round) {
    GrowInTurn(endless, 40);
    EXPECT_LE(budget_->held_bytes(), kTotalBytes);
    Reservation ordinary(budget_);
    EXPECT_TRUE(ordinary.TryGrow(100 << 10)) << round;
  }
}

// Guards against answers that hold their bytes without growing.
TEST_F(AnswerBudgetTest, Answers_Stalled_LeaveRoomForSmallOnes) {
  std::vector<Reservation> stalled = MakeAnswers(200);
  for (Reservation& answer : stalled) {
    while (answer.TryGrow(kStepBytes)) {
    }
  }
  Reservation small(budget_);
  EXPECT_TRUE(small.TryGrow(16 << 10));
  EXPECT_LE(budget_->held_bytes(), kTotalBytes + (201 << 14));
}

// Guards against bytes that stay counted after their answer was dropped.
TEST_F(AnswerBudgetTest, Reservation_MovedAndDropped_FreesItsBytes) {
  {
    Reservation first(budget_);
    EXPECT_TRUE(first.TryGrow(1'000));
    Reservation second(std::move(first));
    Reservation third(budget_);
    EXPECT_TRUE(third.TryGrow(500));
    third = std::move(second);
    EXPECT_EQ(budget_->held_bytes(), 1'000U);
  }
  EXPECT_EQ(budget_->held_bytes(), 0U);
}

}  // namespace
}  // namespace lacewingknot
