#include "lacewingknot/base/event_log.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "lacewingknot/base/error.h"
#include "lacewingknot/settings/schema.h"

namespace lacewingknot {
namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream file(std::string(LACEWINGKNOT_SOURCE_DIR) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(EventCatalogueTest, EveryEvent_LookedUpInCatalogue_HasUniqueNumberAndRow) {
  const std::string catalogue = ReadDoc("EVENTS.md");
  std::set<Event> numbers;
  for (const EventInfo& info : AllEvents()) {
    EXPECT_TRUE(numbers.insert(info.event).second);
    const std::string row = "| E" +
                            std::to_string(static_cast<int>(info.event)) +
                            " | " + std::string(info.name) + " |";
    EXPECT_NE(catalogue.find(row), std::string::npos) << row;
  }
}

// Guards against losing the only line that tells which routes a daemon serves
// by: lines of requests filled the queue.
TEST(LogQueueTest, ManyRequestsLogged_RoutesChange_LineIsKept) {
  ::testing::internal::CaptureStdout();
  ConfigureLogging(LogLevel::kInfo, "vm");
  StartLogWriter();
  constexpr int kMoreThanTheQueueHolds = 2'000;
  for (int i = 0; i < kMoreThanTheQueueHolds; ++i) {
    LogEvent(Event::kRequestEnded, {{"id", i}});
  }
  LogEvent(Event::kRoutesInForce, {{"version", 7}});
  FlushLog(std::chrono::seconds(5));
  const std::string lines = ::testing::internal::GetCapturedStdout();
  EXPECT_NE(lines.find("E1010 log_lines_dropped"), std::string::npos);
  EXPECT_NE(lines.find("E1108 routes_in_force version=7"), std::string::npos);
}

TEST(ErrorCatalogueTest, EveryErrorType_ConvertedToNameAndBack_IsUnchanged) {
  for (int type = 0; type <= static_cast<int>(ErrorType::kOutcomeUnknown);
       ++type) {
    const auto name = ErrorTypeName(static_cast<ErrorType>(type));
    EXPECT_EQ(ErrorTypeFromName(name), static_cast<ErrorType>(type));
  }
}

TEST(SettingsReferenceTest,
     EverySetting_LookedUpInReference_HasRowWithDefault) {
  const std::string reference = ReadDoc("operators/settings.md");
  for (const SettingInfo& info : AllSettings()) {
    const std::string row = "| " + std::string(info.name) + " | " +
                            std::string(info.default_text) + " |";
    EXPECT_NE(reference.find(row), std::string::npos) << row;
  }
}

}  // namespace
}  // namespace lacewingknot
