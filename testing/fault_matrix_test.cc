// The fault matrix: every fault at every step, held as data and printed.
//
// A cell names the test that proves it, "not proved" where there is none yet,
// or "none" where the fault cannot meet the step. A cell that names a test that
// does not exist fails the run, so that no proof is lost unseen.

#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <set>
#include <string>
#include <string_view>

namespace lacewingknot {
namespace {

constexpr std::string_view kNone = "none";
constexpr std::string_view kGap = "not proved";

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
              "WritePlanTest.Deadline_AttemptOutstanding_OutcomeUnknown", kNone,
              kNone, kGap},
    MatrixRow{"lost replica",
              "QueryPlanTest.Replica_ConnectFails_OtherIsTriedWithoutBudget",
              "UpstreamPoolTest.Write_UpstreamDown_NotRunIsTrue", kNone, kGap,
              kGap},
    MatrixRow{
        "repartition mid-query",
        "Faults/QueryFaultTest.Query_UpstreamFault_TypedFailureThenRecovers/"
        "wrong_shard",
        kGap, kGap, kNone, kNone},
    MatrixRow{"index version changes",
              "QueryPlanTest.Version_GoneAtEveryReplica_RestartsOnceOnAnother",
              kNone, kNone, kNone, kNone},
    MatrixRow{"cold without warning",
              "ColdFleetTest.Restart_AfterFullLoad_OneAttemptInAll",
              "whole_process.writes_under_faults", kNone,
              "ColdFleetProperty.AnyEvents_SumOfAllDaemons_WithinWhatItBears",
              kGap},
    MatrixRow{"platform down", "whole_process.platform_down_and_stale", kGap,
              "WorkPermitTest.PlatformDown_MostPeersAnswer_GoesOn", kGap, kGap},
    MatrixRow{"platform stale", kGap, kGap,
              "whole_process.platform_down_and_stale", kGap, kNone},
    MatrixRow{"pause and late wake",
              "UpstreamPoolTest.Permit_ExpiredDuringPause_NothingIsSent",
              "WritePlanTest.Retry_AfterAPauseBeyondTheDeadline_IsNotSent",
              "WorkPermitTest.Paused_BeyondTheLease_MayNotWorkOnWaking",
              "FleetViewTest.Owner_AsleepPastTheLease_OwnsNothingOnWaking",
              kGap},
    MatrixRow{"split of the fleet",
              "WorkPermitTest.PlatformDown_FewPeersAnswer_StopsWithinTwoLeases",
              kGap,
              "WorkPermitTest.Behind_PeerHoldsNewerSettings_IsNotExtended",
              "FleetViewTest.Owner_PeerHoldsNewerList_OwnsNothing", kGap},
    MatrixRow{"silent connection",
              "UpstreamPoolTest.Silent_KeptConnections_NextCallUsesANewOne",
              kGap, kNone, kGap, kGap},
    MatrixRow{"VM replaced", "whole_process.platform_down_and_stale", kGap,
              "whole_process.platform_down_and_stale",
              "FleetViewProperty.Owners_AnyReadsAndPauses_NeverTwoAtOnce",
              kNone},
    MatrixRow{"data centre out and back",
              "UpstreamPoolTest.DataCentre_OutBeforeSending_NothingIsSent",
              kGap, "whole_process.daemon_paused_over_data_centre_out", kGap,
              kGap},
    MatrixRow{
        "operators' changes racing", kGap, kGap,
        "SettingsOrderTest.SameRevision_TwoContents_BothSidesEndOnTheSame",
        "FleetViewTest.FleetSize_ListShrinks_KeepsLargerSizeForOneLease",
        kNone},
    MatrixRow{"crossed answer", "QueryPlanTest.Part_OfAnotherShard_IsNotMerged",
              "UpstreamPoolTest.Write_CrossedAnswer_OutcomeUnknown", kNone,
              kNone, kNone},
    MatrixRow{"late or doubled answer", "QueryPlanTest.Part_Twice_CountedOnce",
              "WritePlanTest.Answer_AfterTheDeadline_IsDropped", kNone, kNone,
              kNone},
    MatrixRow{
        "truncated answer",
        "Faults/QueryFaultTest.Query_UpstreamFault_TypedFailureThenRecovers/"
        "truncated",
        "Faults/WriteOutcomeTest.Attempt_FailsAsInTheTable_OutcomeIsTrue/"
        "malformed_answer",
        "Faults/BrokenSettingsTest.Document_Broken_RefusedWithLineAndKey/"
        "not_toml",
        "PeerMessageProperty.Envelope_Truncated_IsRefused", kNone},
    MatrixRow{
        "connection closed after sending",
        "Faults/QueryFaultTest.Query_UpstreamFault_TypedFailureThenRecovers/"
        "drop_after_run",
        "UpstreamPoolTest."
        "Write_KeptConnectionClosedAfterRun_RunsOnceAndUnknown",
        kNone, kGap, kGap},
    MatrixRow{"stop signal, twice", "whole_process.graceful_stop_under_load",
              kGap, kGap, kGap, "whole_process.graceful_stop_under_load"},
    MatrixRow{"pause + restart + list change",
              "ColdFleetProperty.AnyEvents_SumOfAllDaemons_WithinWhatItBears",
              kGap, kNone,
              "ColdFleetProperty.AnyEvents_SumOfAllDaemons_WithinWhatItBears",
              kGap},
    MatrixRow{"pause + data centre out",
              "whole_process.daemon_paused_over_data_centre_out", kGap,
              "whole_process.daemon_paused_over_data_centre_out", kGap, kGap},
    MatrixRow{"platform stale + VM replaced",
              "whole_process.platform_down_and_stale", kGap,
              "whole_process.platform_down_and_stale", kGap, kNone},
};

std::set<std::string> KnownTests() {
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
  const std::set<std::string> known = KnownTests();
  int gaps = 0;
  int proofs = 0;
  for (const MatrixRow& row : kMatrix) {
    const std::array<std::pair<std::string_view, std::string_view>, 5> cells{
        {{"query", row.query},
         {"write", row.write},
         {"settings change", row.settings_change},
         {"hand-over", row.hand_over},
         {"stop", row.stop}}};
    for (const auto& [step, proof] : cells) {
      std::cout << row.fault << " | " << step << " | " << proof << "\n";
      if (proof == kGap) ++gaps;
      if (proof == kNone || proof == kGap) continue;
      ++proofs;
      EXPECT_TRUE(known.contains(std::string(proof))) << proof;
    }
  }
  std::cout << proofs << " cells proved, " << gaps << " not proved\n";
}

}  // namespace
}  // namespace lacewingknot
