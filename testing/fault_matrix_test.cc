// The fault matrix: which test covers which fault at which step.
//
// Each cell names the test that covers it, "not proved" if no test does yet, or
// "none" if the fault cannot occur at that step. The test prints the matrix and
// fails if a cell names a test that does not exist, so that renaming or
// deleting a test cannot silently remove the coverage of a fault.

#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <set>
#include <string>
#include <string_view>

namespace lacewingknot {
namespace {

constexpr std::string_view kNotApplicable = "none";
constexpr std::string_view kNotCovered = "not proved";

struct MatrixRow {
  std::string_view fault;
  std::string_view query;
  std::string_view write;
  std::string_view settings_change;
  std::string_view hand_over;
  std::string_view stop;
};

constexpr std::array kMatrix{
    MatrixRow{"straggler",
              "QueryPlanTest.Straggler_HedgeAnswersFirst_LoserCancelled",
              "WritePlanTest.Deadline_AttemptOutstanding_OutcomeUnknown",
              kNotApplicable, kNotApplicable, kNotCovered},
    MatrixRow{"lost replica",
              "QueryPlanTest.Replica_ConnectFails_OtherIsTriedWithoutBudget",
              "UpstreamPoolTest.Write_UpstreamDown_DoesNotRun", kNotApplicable,
              kNotCovered, kNotCovered},
    MatrixRow{
        "repartition mid-query",
        "Faults/QueryFaultTest.Query_UpstreamFault_FailsWithTypeThenRecovers/"
        "wrong_shard",
        kNotCovered, kNotCovered, kNotApplicable, kNotApplicable},
    MatrixRow{"index version changes",
              "QueryPlanTest.Version_GoneAtEveryReplica_RestartsOnceOnAnother",
              kNotApplicable, kNotApplicable, kNotApplicable, kNotApplicable},
    MatrixRow{"cold without warning",
              "ColdFleetTest.Restart_AfterFullLoad_OneAttemptInAll",
              "whole_process.writes_under_faults", kNotApplicable,
              "ColdFleetProperty.AnyEvents_AttemptsOfAllDaemons_WithinCapacity",
              kNotCovered},
    MatrixRow{"platform down", "whole_process.platform_down_and_stale",
              kNotCovered,
              "WorkPermitTest.PlatformDown_QuorumAnswers_PermitIsExtended",
              kNotCovered, kNotCovered},
    MatrixRow{"platform stale", kNotCovered, kNotCovered,
              "whole_process.platform_down_and_stale", kNotCovered,
              kNotApplicable},
    MatrixRow{"pause and late wake",
              "UpstreamPoolTest.Permit_ExpiredDuringPause_NothingIsSent",
              "WritePlanTest.Retry_AfterAPauseBeyondTheDeadline_IsNotSent",
              "WorkPermitTest.Paused_LongerThanLease_PermitHasExpiredOnResume",
              "FleetViewTest.Owner_PausedBeyondTheLease_OwnsNothingOnResuming",
              kNotCovered},
    MatrixRow{
        "split of the fleet",
        "WorkPermitTest.PlatformDown_NoQuorum_PermitExpiresWithinTwoLeases",
        kNotCovered, "WorkPermitTest.NewerView_HeldByPeer_PermitIsNotExtended",
        "FleetViewTest.Owner_PeerHoldsNewerList_OwnsNothing", kNotCovered},
    MatrixRow{"silent connection",
              "UpstreamPoolTest.IdleConnections_Silent_NextCallOpensNewOne",
              kNotCovered, kNotApplicable, kNotCovered, kNotCovered},
    MatrixRow{"VM replaced", "whole_process.platform_down_and_stale",
              kNotCovered, "whole_process.platform_down_and_stale",
              "FleetViewProperty.Owners_AnyReadsAndPauses_NeverTwoAtOnce",
              kNotApplicable},
    MatrixRow{"data centre out and back",
              "UpstreamPoolTest.DataCentre_TakenOutBeforeSending_NothingIsSent",
              kNotCovered, "whole_process.daemon_paused_over_data_centre_out",
              kNotCovered, kNotCovered},
    MatrixRow{"operators' changes racing", kNotCovered, kNotCovered,
              "SettingsOrderTest.SameRevision_TwoContents_LargerHashWins",
              "FleetViewTest.FleetSize_ListShrinks_StaysLargerForOneLease",
              kNotApplicable},
    MatrixRow{"crossed answer", "QueryPlanTest.Part_OfAnotherShard_IsNotMerged",
              "UpstreamPoolTest.Write_MismatchedAnswer_OutcomeUnknown",
              kNotApplicable, kNotApplicable, kNotApplicable},
    MatrixRow{"late or doubled answer", "QueryPlanTest.Part_Twice_CountedOnce",
              "WritePlanTest.Answer_AfterTheDeadline_IsDropped", kNotApplicable,
              kNotApplicable, kNotApplicable},
    MatrixRow{
        "truncated answer",
        "Faults/QueryFaultTest.Query_UpstreamFault_FailsWithTypeThenRecovers/"
        "truncated",
        "Faults/WriteOutcomeTest.Attempt_Fails_OutcomeIsAsInTheTable/"
        "malformed_answer",
        "Faults/BrokenSettingsTest.Document_Broken_RefusedWithLineAndKey/"
        "not_toml",
        "PeerMessageProperty.Envelope_Truncated_IsRefused", kNotApplicable},
    MatrixRow{
        "connection closed after sending",
        "Faults/QueryFaultTest.Query_UpstreamFault_FailsWithTypeThenRecovers/"
        "drop_after_run",
        "UpstreamPoolTest."
        "Write_IdleConnectionClosedAfterRun_RunsOnceAndIsUnknown",
        kNotApplicable, kNotCovered, kNotCovered},
    MatrixRow{"stop signal, twice", "whole_process.graceful_stop_under_load",
              kNotCovered, kNotCovered, kNotCovered,
              "whole_process.graceful_stop_under_load"},
    MatrixRow{"pause + restart + list change",
              "ColdFleetProperty.AnyEvents_AttemptsOfAllDaemons_WithinCapacity",
              kNotCovered, kNotApplicable,
              "ColdFleetProperty.AnyEvents_AttemptsOfAllDaemons_WithinCapacity",
              kNotCovered},
    MatrixRow{"pause + data centre out",
              "whole_process.daemon_paused_over_data_centre_out", kNotCovered,
              "whole_process.daemon_paused_over_data_centre_out", kNotCovered,
              kNotCovered},
    MatrixRow{"platform stale + VM replaced",
              "whole_process.platform_down_and_stale", kNotCovered,
              "whole_process.platform_down_and_stale", kNotCovered,
              kNotApplicable},
};

std::set<std::string> ExistingTestNames() {
  std::set<std::string> names{
      "whole_process.cold_restart_under_load",
      "whole_process.daemon_paused_over_data_centre_out",
      "whole_process.graceful_stop_under_load",
      "whole_process.platform_down_and_stale",
      "whole_process.writes_under_faults"};
  const auto* unit_test = ::testing::UnitTest::GetInstance();
  for (int i = 0; i < unit_test->total_test_suite_count(); ++i) {
    const auto* suite = unit_test->GetTestSuite(i);
    for (int j = 0; j < suite->total_test_count(); ++j) {
      names.insert(std::string(suite->name()) + "." +
                   suite->GetTestInfo(j)->name());
    }
  }
  return names;
}

TEST(FaultMatrixTest, Cells_EveryNamedProof_Exists) {
  const std::set<std::string> existing_tests = ExistingTestNames();
  int uncovered_count = 0;
  int covered_count = 0;
  for (const MatrixRow& row : kMatrix) {
    const std::array<std::pair<std::string_view, std::string_view>, 5> cells{
        {{"query", row.query},
         {"write", row.write},
         {"settings change", row.settings_change},
         {"hand-over", row.hand_over},
         {"stop", row.stop}}};
    for (const auto& [step, test_name] : cells) {
      std::cout << row.fault << " | " << step << " | " << test_name << "\n";
      if (test_name == kNotCovered) ++uncovered_count;
      if (test_name == kNotApplicable || test_name == kNotCovered) continue;
      ++covered_count;
      EXPECT_TRUE(existing_tests.contains(std::string(test_name))) << test_name;
    }
  }
  std::cout << covered_count << " cells proved, " << uncovered_count
            << " not proved\n";
}

}  // namespace
}  // namespace lacewingknot
