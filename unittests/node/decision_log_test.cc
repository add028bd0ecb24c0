#include "decision_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/// Keeps the lines that are logged while it exists.
class CapturedLog : public google::LogSink {
 public:
  CapturedLog() { google::AddLogSink(this); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;
  ~CapturedLog() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity /*severity*/,
            const char* /*full_filename*/,
            const char* /*base_filename*/,
            int /*line*/,
            const google::LogMessageTime& /*time*/,
            const char* message,
            size_t message_len) override {
    lines_.emplace_back(message, message_len);
  }
  using google::LogSink::send;

  const std::vector<std::string>& lines() const { return lines_; }

 private:
  std::vector<std::string> lines_;
};

Decision MakeDecision(DecisionKind kind, Evidence evidence) {
  Decision decision;
  decision.kind = kind;
  decision.flow = {{0x64400007, 7}, {0xc6120001, 443}};
  decision.reason = "no_agent";
  decision.agent = InstanceUid{0xb2};
  decision.sequence = 9001;
  decision.evidence = evidence;
  return decision;
}

class DecisionLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionLogTest);
  CPPUNIT_TEST(RefusalNamesTheCopiesOfItsOpeningPacket);
  CPPUNIT_TEST(ResetNamesWhatItWasBasedOn);
  CPPUNIT_TEST(SecondHolderIsAnEventOfItsOwn);
  CPPUNIT_TEST(OtherLinesHaveNoFurtherFields);
  CPPUNIT_TEST(DeferralsBeyondTheLogAreCountedByReason);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a refusal that cannot be told from one of a flow that
  // another entry has opened.
  void RefusalNamesTheCopiesOfItsOpeningPacket() {
    const OpeningEvidence opening{3, absl::Milliseconds(237)};
    ExpectLine(MakeDecision(DecisionKind::kRefused, opening),
               "SKS2103 flow_refused ",
               " attempt=0 copies=0+1 age_ms=237 sequence=9001");
    ExpectLine(MakeDecision(DecisionKind::kDeferred, opening),
               "SKS2104 opening_held_back ",
               " attempt=0 copies=0+1 age_ms=237");
    ExpectLine(MakeDecision(DecisionKind::kRefused, OpeningEvidence()),
               "SKS2103 flow_refused ",
               " attempt=0 copies=none age_ms=-1 sequence=9001");
    const nlohmann::json last = LastOfHistory();
    CPPUNIT_ASSERT_EQUAL(std::string("none"),
                         last["copies"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(-1, last["age_ms"].get<int>());
    CPPUNIT_ASSERT_EQUAL(9001, last["sequence"].get<int>());
  }

  // Guards against a reset whose sender cannot be shown to have known enough.
  void ResetNamesWhatItWasBasedOn() {
    const SearchEvidence search{3, 4, absl::Milliseconds(2100),
                                absl::Milliseconds(90)};
    ExpectLine(MakeDecision(DecisionKind::kFlowReset, search),
               "SKS2107 flow_cut ",
               " queried=3 known=4 uptime_ms=2100 newest_agent_ms=90"
               " sequence=9001");
    const nlohmann::json last = LastOfHistory();
    CPPUNIT_ASSERT_EQUAL(3, last["queried"].get<int>());
    CPPUNIT_ASSERT_EQUAL(4, last["known"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2100, last["uptime_ms"].get<int>());
    CPPUNIT_ASSERT_EQUAL(90, last["newest_agent_ms"].get<int>());
    ExpectLine(MakeDecision(DecisionKind::kFlowReset,
                            AgentFlowEvidence{absl::Milliseconds(40)}),
               "SKS2107 flow_cut ", " attempt=0 flow_age_ms=40 sequence=9001");
    CPPUNIT_ASSERT_EQUAL(40, LastOfHistory()["flow_age_ms"].get<int>());
    ExpectLine(MakeDecision(DecisionKind::kFlowReset, AgentFlowEvidence()),
               "SKS2107 flow_cut ", " attempt=0 flow_age_ms=-1 sequence=9001");
  }

  // Guards against a flow that two agents claim without a trace.
  void SecondHolderIsAnEventOfItsOwn() {
    ExpectLine(MakeDecision(DecisionKind::kHeldTwice,
                            OtherHolderEvidence{InstanceUid{0xa1}}),
               "SKS2115 flow_held_twice ", " attempt=0 other=00000000000000a1");
    CPPUNIT_ASSERT_EQUAL(std::string("00000000000000a1"),
                         LastOfHistory()["other"].get<std::string>());
    CPPUNIT_ASSERT(absl::StrContains(
        counters_.ToText(),
        "skylarkshunt_decisions_total{kind=\"flow_held_twice\"} 1"));
  }

  // Guards against a log volume that grows with every event.
  void OtherLinesHaveNoFurtherFields() {
    ExpectLine(MakeDecision(DecisionKind::kPlaced, {}), "SKS2101 flow_placed ",
               " waited_ms=0 attempt=0");
    CPPUNIT_ASSERT(!LastOfHistory().contains("sequence"));
  }

  // Guards against an overload in which the log does not show why opening
  // packets are held back.
  void DeferralsBeyondTheLogAreCountedByReason() {
    Decision decision =
        MakeDecision(DecisionKind::kDeferred, OpeningEvidence());
    decision.reason = "copy_elsewhere";
    const CapturedLog captured;
    constexpr size_t kDeferrals = 100;
    for (size_t i = 0; i < kDeferrals; ++i)
      log_.Record(kStart, decision);
    CPPUNIT_ASSERT(captured.lines().size() < kDeferrals);
    CPPUNIT_ASSERT(absl::StrContains(
        counters_.ToText(),
        "skylarkshunt_refusals_total{decision=\"opening_held_back\","
        "reason=\"copy_elsewhere\"} 100"));
  }

 private:
  void ExpectLine(const Decision& decision,
                  const std::string& start,
                  const std::string& end) {
    const CapturedLog captured;
    log_.Record(kStart, decision);
    const bool found = std::any_of(
        captured.lines().begin(), captured.lines().end(),
        [&start, &end](const std::string& line) {
          return absl::StartsWith(line, start) && absl::EndsWith(line, end);
        });
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("no line ", start, "...", end), found);
  }

  nlohmann::json LastOfHistory() const {
    return nlohmann::json::parse(history_.ToJson("")).back();
  }

  CounterRegistry counters_;
  DecisionHistory history_;
  DecisionLog log_{counters_, history_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

}  // namespace
}  // namespace skylarkshunt
