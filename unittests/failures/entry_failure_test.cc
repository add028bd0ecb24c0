#include "failure_fixture.h"

namespace skylarkshunt {
namespace {

class EntryFailureTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(EntryFailureTest);
  CPPUNIT_TEST(KilledEntryIsReplacedUnderLoad);
  CPPUNIT_TEST(TerminatedEntryLeavesUnderLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  // P1, P3: guards against state of a flow or an answer that only one entry
  // holds, and against loss, duplicates and overtaking on the way.
  void KilledEntryIsReplacedUnderLoad() {
    StartDeployment(40);
    CPPUNIT_ASSERT(deployment().SetFabricFault(
        R"({"loss":0.02,"duplicate":0.02,"reorder":0.1,"delay_ms":3})"));
    LoadRun load = StartLoad("load", Options(11));
    deployment().process(Role::kEntry, 0).Kill();
    const auto added = deployment().AddEntry();
    CPPUNIT_ASSERT(added.has_value());
    CPPUNIT_ASSERT(deployment().SprayOverAllEntries());
    // The new entry forwards packets of flows that it never saw opened.
    CPPUNIT_ASSERT(WaitUntil([&] {
      return CountLog(Role::kEntry, added.value(), "SKS2001 routed") > 0;
    }));
    const LoadSummary summary = FinishLoad(&load);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.missing);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.broken_flows);
    CPPUNIT_ASSERT_EQUAL(summary.requests, summary.ok);
  }

  // P1, P7: guards against an entry that ends before the fabric has left it, or
  // that does not end.
  void TerminatedEntryLeavesUnderLoad() {
    StartDeployment(48);
    LoadRun load = StartLoad("load", Options(12));
    ChildProcess& entry = deployment().process(Role::kEntry, 0);
    entry.Stop();
    CPPUNIT_ASSERT_EQUAL(0, entry.WaitForExit(kGenerousLimit).value_or(-1));
    const LoadSummary summary = FinishLoad(&load);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, summary.broken_flows);
    CPPUNIT_ASSERT_EQUAL(summary.requests, summary.ok);
  }

 private:
  static LoadRun::Options Options(uint64_t seed) {
    LoadRun::Options options;
    options.utilisation = 0.3;
    options.flows = 60;
    options.duration = absl::Seconds(10);
    options.seed = seed;
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryFailureTest);

}  // namespace
}  // namespace skylarkshunt
