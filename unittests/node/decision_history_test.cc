#include "decision_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "decision_log.h"

namespace skylarkshunt {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

Decision MakeDecision(uint16_t port) {
  Decision decision;
  decision.kind = DecisionKind::kRefused;
  decision.flow = {{0x64400007, port}, {0xc6120001, 443}};
  decision.reason = "no_agent";
  return decision;
}

class DecisionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionHistoryTest);
  CPPUNIT_TEST(LatestDecisionsOfAFlowAreFound);
  CPPUNIT_TEST(FloodOfDecisionsIsCountedAndBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LatestDecisionsOfAFlowAreFound() {
    DecisionHistory history;
    for (size_t i = 0; i < 2 * DecisionHistory::kMaxDecisions; ++i)
      history.Add(kStart, MakeDecision(static_cast<uint16_t>(i % 5'000)));
    const auto all = nlohmann::json::parse(history.ToJson(""));
    CPPUNIT_ASSERT_EQUAL(DecisionHistory::kMaxDecisions, all.size());
    const auto one =
        nlohmann::json::parse(history.ToJson("100.64.0.7:2047>198.18.0.1:443"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, one.size());
    CPPUNIT_ASSERT_EQUAL(std::string("flow_refused"),
                         one[0]["decision"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("no_agent"),
                         one[0]["reason"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("[]"), history.ToJson("unknown"));
  }

  // Guards against a flood of packets that floods the log, and against
  // decisions that are not counted because the log omits them.
  void FloodOfDecisionsIsCountedAndBounded() {
    CounterRegistry counters;
    DecisionHistory history;
    DecisionLog log(counters, history);
    constexpr int kFlood = 5'000;
    for (int i = 0; i < kFlood; ++i)
      log.Record(kStart, MakeDecision(7));
    const std::string text = counters.ToText();
    CPPUNIT_ASSERT(
        text.find("skylarkshunt_decisions_total{kind=\"flow_refused\"} 5000") !=
        std::string::npos);
    CPPUNIT_ASSERT(text.find("reason=\"no_agent\"} 5000") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionHistoryTest);

}  // namespace
}  // namespace skylarkshunt
