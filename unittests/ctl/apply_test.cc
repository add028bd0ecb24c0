#include <cppunit/extensions/HelperMacros.h>

#include "ctl_harness.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/platform/platform_client.h"

namespace skylarkshunt {
namespace {

class ApplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApplyTest);
  CPPUNIT_TEST(ConflictOfTwoOperatorsShowsBothRevisions);
  CPPUNIT_TEST(LostAnswerIsSettledByReadBack);
  CPPUNIT_TEST(LostAnswerOnDeadPlatformIsOutcomeUnknown);
  CPPUNIT_TEST(LostRemovalIsSettled);
  CPPUNIT_TEST(RecreatedServiceGetsNewUid);
  CPPUNIT_TEST(DryRunAndDiffWriteNothing);
  CPPUNIT_TEST(DownSlowAndLimitedAreUnavailable);
  CPPUNIT_TEST(DrainOrderIsWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the second operator silently overwriting the first.
  void ConflictOfTwoOperatorsShowsBothRevisions() {
    CtlHarness ctl;
    Apply(ctl, 4);
    ctl.OnNextDraw([&ctl] { Apply(ctl, 6); });
    const std::string mine = ctl.WriteAnswers(5);
    // The other operator writes the same file path; the answers are read
    // before the draw, so this apply still carries 5 slots.
    CPPUNIT_ASSERT(ctl.Run({"service", "apply", mine}) == ExitCode::kConflict);
    CPPUNIT_ASSERT_MESSAGE(ctl.err(),
                           Contains(ctl.err(), "based on revision 1:1"));
    CPPUNIT_ASSERT(Contains(ctl.err(), "holds revision 1:2"));
    CPPUNIT_ASSERT(Contains(ctl.err(), "slots  6         5"));
    CPPUNIT_ASSERT(Contains(ctl.err(), "remedy: "));
    CPPUNIT_ASSERT_EQUAL(6, int{Stored(ctl).slots});
  }

  // Guards against a repeated write: the platform took the first one.
  void LostAnswerIsSettledByReadBack() {
    CtlHarness ctl;
    ctl.core().SetFault({FaultMode::kLoseAnswers});
    CPPUNIT_ASSERT(ctl.Run({"service", "apply", ctl.WriteAnswers(4)}) ==
                   ExitCode::kOk);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, ctl.writes());
    CPPUNIT_ASSERT(Contains(ctl.out(), "revision: 1:1"));
    CPPUNIT_ASSERT(Contains(ctl.out(), Stored(ctl).apply_id));
  }

  void LostAnswerOnDeadPlatformIsOutcomeUnknown() {
    CtlHarness ctl;
    ctl.core().SetFault(
        {FaultMode::kLoseAnswers, absl::ZeroDuration(), 1, FaultMode::kDown});
    CPPUNIT_ASSERT(ctl.Run({"service", "apply", ctl.WriteAnswers(4), "--settle",
                            "1"}) == ExitCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(Contains(ctl.err(), "outcome unknown"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, ctl.writes());
  }

  void LostRemovalIsSettled() {
    CtlHarness ctl;
    Apply(ctl, 4);
    ctl.core().SetFault({FaultMode::kLoseAnswers});
    CPPUNIT_ASSERT(ctl.Run({"service", "remove", "dispatch"}) == ExitCode::kOk);
    CPPUNIT_ASSERT(ctl.Run({"service", "show", "dispatch"}) ==
                   ExitCode::kFailed);
  }

  // Guards against flows of a removed service reaching its namesake.
  void RecreatedServiceGetsNewUid() {
    CtlHarness ctl;
    Apply(ctl, 4);
    const ServiceUid first = Stored(ctl).uid;
    Apply(ctl, 5);
    CPPUNIT_ASSERT(Stored(ctl).uid == first);
    CPPUNIT_ASSERT(ctl.Run({"service", "remove", "dispatch"}) == ExitCode::kOk);
    Apply(ctl, 5);
    CPPUNIT_ASSERT(Stored(ctl).uid != first);
  }

  void DryRunAndDiffWriteNothing() {
    CtlHarness ctl;
    Apply(ctl, 4);
    const std::string file = ctl.WriteAnswers(5);
    CPPUNIT_ASSERT(ctl.Run({"service", "apply", file, "--dry-run"}) ==
                   ExitCode::kOk);
    CPPUNIT_ASSERT(Contains(ctl.out(), "slots  4         5"));
    CPPUNIT_ASSERT(ctl.Run({"--output", "json", "service", "diff", file}) ==
                   ExitCode::kOk);
    CPPUNIT_ASSERT(Contains(ctl.out(), "\"in_place\": \"4\""));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, ctl.writes());
  }

  void DownSlowAndLimitedAreUnavailable() {
    PlatformCore::Options limited;
    limited.writes_per_second = 0;
    CtlHarness ctl(limited);
    const std::string file = ctl.WriteAnswers(4);
    CPPUNIT_ASSERT(ctl.Run({"service", "apply", file}) ==
                   ExitCode::kUnavailable);
    CPPUNIT_ASSERT(Contains(ctl.err(), "rate_limited"));
    ctl.core().SetFault({FaultMode::kDown});
    CPPUNIT_ASSERT(ctl.Run({"service", "list"}) == ExitCode::kUnavailable);
    ctl.core().SetFault({FaultMode::kSlow, absl::Seconds(60)});
    CPPUNIT_ASSERT(ctl.Run({"service", "list"}) == ExitCode::kUnavailable);
    ctl.StopPlatform();
    CPPUNIT_ASSERT(ctl.Run({"service", "apply", file}) ==
                   ExitCode::kUnavailable);
  }

  void DrainOrderIsWritten() {
    CtlHarness ctl;
    const std::string uid = "00000000000000af";
    CPPUNIT_ASSERT(ctl.Run({"target", "drain", "af"}) == ExitCode::kOk);
    CPPUNIT_ASSERT(
        Contains(ctl.core().Read("drains/" + uid).body, "\"drain\":true"));
    ctl.core().SetFault({FaultMode::kLoseAnswers});
    CPPUNIT_ASSERT(ctl.Run({"target", "undrain", uid}) == ExitCode::kOk);
    CPPUNIT_ASSERT(
        Contains(ctl.core().Read("drains/" + uid).body, "\"drain\":false"));
    CPPUNIT_ASSERT(ctl.Run({"target", "drain", "xyz"}) == ExitCode::kUsage);
  }

 private:
  static void Apply(CtlHarness& ctl, int slots) {
    const ExitCode code =
        ctl.Run({"service", "apply", ctl.WriteAnswers(slots)});
    CPPUNIT_ASSERT_MESSAGE(ctl.err(), code == ExitCode::kOk);
  }

  static ServiceConfig Stored(CtlHarness& ctl) {
    auto client = std::move(
        PlatformClient::Create({ctl.address(), absl::Seconds(20)}).value());
    return ParseServiceConfig(client->Read("services/dispatch").value().body)
        .value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyTest);

}  // namespace
}  // namespace skylarkshunt
