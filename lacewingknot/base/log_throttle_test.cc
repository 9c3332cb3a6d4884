#include "lacewingknot/base/log_throttle.h"

#include <gtest/gtest.h>

namespace lacewingknot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a log that a flood of events fills, or that does not tell how
// many there were.
TEST(LogThrottleTest, Events_WithinInterval_AreCountedOnly) {
  LogThrottle throttle{seconds(1)};
  const TimePoint start{};
  EXPECT_EQ(throttle.Admit(start), 0U);
  EXPECT_EQ(throttle.Admit(start), std::nullopt);
  EXPECT_EQ(throttle.Admit(start + milliseconds(999)), std::nullopt);
  EXPECT_EQ(throttle.Admit(start + milliseconds(1'000)), 2U);
  EXPECT_EQ(throttle.Admit(start + milliseconds(2'000)), 0U);
}

}  // namespace
}  // namespace lacewingknot
