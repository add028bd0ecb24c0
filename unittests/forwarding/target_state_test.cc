#include "skylarkshunt/forwarding/target_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include "packets.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kInterval = absl::Seconds(1);
/// Largest step of the wall clock that an agent allows for.
constexpr absl::Duration kLargestStep = absl::Seconds(4);

TargetReport Report(const char* id, int64_t started_ms, uint64_t sequence) {
  TargetReport report;
  report.id = id;
  report.service = "dispatch";
  report.started_unix_ms = started_ms;
  report.sequence = sequence;
  report.slots = 4;
  return report;
}

class TargetStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetStateTest);
  CPPUNIT_TEST(DelayedReportOfAnEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(ReportsOutOfOrderAreIgnored);
  CPPUNIT_TEST(RestartWithTheSameIdIsRecognized);
  CPPUNIT_TEST(MissedReportsEjectAndAReportRestores);
  CPPUNIT_TEST(LeaveOfAnotherTargetIsIgnored);
  CPPUNIT_TEST(OnlyATargetThatStartedAfterItsAgentIsSeenFromItsStart);
  CPPUNIT_TEST(StartFromASteppedClockIsNotTrusted);
  CPPUNIT_TEST(StartInTheFarFutureIsNotTrusted);
  CPPUNIT_TEST(TargetFoundAbsentIsSeenFromItsStart);
  CPPUNIT_TEST(AbsenceIsNotTrustedAgainstAnEarlierStart);
  CPPUNIT_TEST(RestartAfterABackwardClockStepIsRecognized);
  CPPUNIT_TEST(DelayedReportsDoNotReplaceAnUnresponsiveTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a delayed report that makes a dead target count as running.
  void DelayedReportOfAnEarlierIncarnationIsIgnored() {
    target_.OnReport(Report("i-2", 2000, 3), kStart);
    TargetReport late = Report("i-1", 1000, 90);
    late.draining = true;
    CPPUNIT_ASSERT(target_.OnReport(late, kStart) == TargetChange::kNone);
    CPPUNIT_ASSERT(target_.state(kStart) == InstanceState::kServing);
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), target_.id());
  }

  void ReportsOutOfOrderAreIgnored() {
    TargetReport draining = Report("i-1", 1000, 5);
    draining.draining = true;
    target_.OnReport(draining, kStart);
    CPPUNIT_ASSERT(target_.OnReport(Report("i-1", 1000, 4), kStart) ==
                   TargetChange::kNone);
    CPPUNIT_ASSERT(target_.state(kStart) == InstanceState::kDraining);
  }

  void RestartWithTheSameIdIsRecognized() {
    target_.OnReport(Report("i-1", 1000, 50), kStart);
    CPPUNIT_ASSERT(target_.OnReport(Report("i-1", 3000, 1), kStart) ==
                   TargetChange::kRestarted);
    CPPUNIT_ASSERT(target_.seen_from_start());
  }

  void MissedReportsEjectAndAReportRestores() {
    target_.OnReport(Report("i-1", 1000, 1), kStart);
    const absl::Time later = kStart + absl::Seconds(4);
    CPPUNIT_ASSERT(target_.state(later) == InstanceState::kEjected);
    CPPUNIT_ASSERT(target_.OnReport(Report("i-1", 1000, 2), later) ==
                   TargetChange::kState);
    CPPUNIT_ASSERT(target_.state(later) == InstanceState::kServing);
    target_.OnUnresponsive();
    CPPUNIT_ASSERT(target_.state(later) == InstanceState::kEjected);
    target_.OnResponse();
    CPPUNIT_ASSERT(target_.state(later) == InstanceState::kServing);
  }

  void LeaveOfAnotherTargetIsIgnored() {
    target_.OnReport(Report("i-2", 2000, 1), kStart);
    CPPUNIT_ASSERT(!target_.OnLeave("i-1", 0));
    CPPUNIT_ASSERT(target_.state(kStart) == InstanceState::kServing);
    CPPUNIT_ASSERT(target_.OnLeave("i-2", 2000));
    CPPUNIT_ASSERT(target_.state(kStart) == InstanceState::kDown);
    // Its last report may arrive after it has reported its end.
    target_.OnReport(Report("i-2", 2000, 2), kStart);
    CPPUNIT_ASSERT(target_.state(kStart) == InstanceState::kDown);
  }

  // Guards against an agent that denies flows which an earlier process of it
  // has opened.
  void OnlyATargetThatStartedAfterItsAgentIsSeenFromItsStart() {
    for (const uint64_t sequence : {0, 1, 8}) {
      TargetReport report = Report("i-1", 1000, sequence);
      CPPUNIT_ASSERT(!IsSeenFromStart(report));
      report.started = kStart;
      CPPUNIT_ASSERT(!IsSeenFromStart(report));
      report.started = kStart + kLargestStep + absl::Milliseconds(1);
      CPPUNIT_ASSERT(IsSeenFromStart(report));
    }
  }

  // Guards against an agent that denies open flows because its target started
  // while the wall clock was ahead (review case 3).
  void StartFromASteppedClockIsNotTrusted() {
    for (absl::Duration ahead; ahead <= kLargestStep;
         ahead += absl::Milliseconds(100)) {
      TargetReport report = Report("i-1", 1000, 2);
      report.started = kStart - absl::Milliseconds(1) + ahead;
      CPPUNIT_ASSERT(!IsSeenFromStart(report));
    }
  }

  // Guards against an agent that trusts a start which is no step of the clock.
  void StartInTheFarFutureIsNotTrusted() {
    TargetReport report = Report("i-1", 1000, 1);
    const absl::Time now = kStart + absl::Minutes(1);
    report.started = now + absl::Minutes(1);
    target_.OnReport(report, now);
    CPPUNIT_ASSERT(!target_.seen_from_start());
    report = Report("i-2", 2000, 1);
    report.started = now + absl::Seconds(2);
    target_.OnReport(report, now);
    CPPUNIT_ASSERT(target_.seen_from_start());
  }

  // Guards against an agent that passes every unknown flow's packet to a target
  // that started shortly after it.
  void TargetFoundAbsentIsSeenFromItsStart() {
    target_.OnConnectionRefused(kStart);
    TargetReport report = Report("i-1", 1000, 1);
    report.started = kStart + absl::Milliseconds(100);
    target_.OnReport(report, kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT(target_.seen_from_start());
  }

  // Guards against an agent that denies the earlier flows of a running target,
  // because the target refused a connection although it kept running.
  void AbsenceIsNotTrustedAgainstAnEarlierStart() {
    target_.OnConnectionRefused(kStart);
    TargetReport report = Report("i-1", 1000, 40);
    report.started = kStart - absl::Minutes(1);
    target_.OnReport(report, kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT(!target_.seen_from_start());
  }

  // Guards against a target that gets no flows until its agent restarts,
  // because its incarnation before started while the wall clock was ahead.
  void RestartAfterABackwardClockStepIsRecognized() {
    target_.OnReport(Report("i-1", 9000, 7), kStart);
    absl::Time now = kStart + absl::Seconds(1);
    const auto report = [this, &now](uint64_t sequence) {
      now += kInterval;
      return target_.OnReport(Report("i-2", 8000, sequence), now);
    };
    // The earlier incarnation may still run.
    CPPUNIT_ASSERT(report(1) == TargetChange::kNone);
    CPPUNIT_ASSERT(report(2) == TargetChange::kNone);
    CPPUNIT_ASSERT(report(3) == TargetChange::kNone);
    CPPUNIT_ASSERT(report(4) == TargetChange::kRestarted);
    CPPUNIT_ASSERT(target_.state(now) == InstanceState::kServing);
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), target_.id());
  }

  void DelayedReportsDoNotReplaceAnUnresponsiveTarget() {
    target_.OnReport(Report("i-2", 9000, 7), kStart);
    const absl::Time now = kStart + absl::Minutes(1);
    for (uint64_t sequence = 1; sequence < 9; ++sequence) {
      CPPUNIT_ASSERT(target_.OnReport(Report("i-1", 8000, sequence), now) ==
                     TargetChange::kNone);
    }
    // It started longer before than the clock steps.
    for (uint64_t sequence = 1; sequence < 9; ++sequence) {
      CPPUNIT_ASSERT(target_.OnReport(Report("i-0", 1000, sequence),
                                      now + sequence * kInterval) ==
                     TargetChange::kNone);
    }
  }

 private:
  /// Whether an agent that started at kStart knows all flows of the target.
  static bool IsSeenFromStart(const TargetReport& report) {
    TargetState target("dispatch", kInterval, kStart);
    target.OnReport(report, kStart + absl::Seconds(10));
    return target.seen_from_start();
  }

  TargetState target_{"dispatch", kInterval, kStart};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetStateTest);

}  // namespace
}  // namespace skylarkshunt
