#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"
#include "ctl_harness.h"

namespace skylarkshunt {
namespace {

constexpr char kFlow[] = "100.64.0.4:1258>198.18.0.1:443";

std::string NodeAnswer(const std::string& path) {
  if (path == "/node") {
    return R"({"name":"side-zh-a-1","role":"agent","ready":true,
      "configuration":{"revision":23,"epoch":2,"version":71},"nodes":[],
      "load":{"state":"serving","busy":3,"slots":4,"open_flows":9,
              "service_time_us":25000,"pending_work_us":7104,"failing_permille":310},
      "admission":{"waiting":31,"in_time":8,"overloaded_ms":4321}})";
  }
  if (path == absl::StrCat("/decisions/", kFlow)) {
    return R"([{"time_ms":2000,"decision":"flow_answered",
                "reason":"first_byte","agent":"7b"},
               {"time_ms":1000,"decision":"flow_placed",
                "reason":"least_expected_time","agent":"7b","busy":2}])";
  }
  return "[]";
}

class NodeViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeViewTest);
  CPPUNIT_TEST(StatusShowsLoadAndConfiguration);
  CPPUNIT_TEST(SilentNodesAreCounted);
  CPPUNIT_TEST(WhyTellsTheDecisionsInOrder);
  CPPUNIT_TEST(UnknownFlowNamesTheRemedy);
  CPPUNIT_TEST(DamagedAnswerNamesTheRemedy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StatusShowsLoadAndConfiguration() {
    AdminServer node(NodeAnswer);
    CPPUNIT_ASSERT(Run(node, {"node", "status"}) == ExitCode::kOk);
    for (const char* part :
         {"side-zh-a-1", "agent", "serving", "71", "25000", "7104", "310",
          "FAILING_PERMILLE", "4321", "OVERLOADED_MS"}) {
      CPPUNIT_ASSERT_MESSAGE(ctl_.out(), Contains(ctl_.out(), part));
    }
  }

  // Guards against a status that looks complete while nodes do not answer.
  void SilentNodesAreCounted() {
    AdminServer node([](const std::string&) {
      return R"({"name":"edge-1","role":"entry","ready":true,
        "nodes":[{"address":"127.0.0.2:9","role":"agent"}]})";
    });
    CPPUNIT_ASSERT(Run(node, {"node", "status"}) == ExitCode::kFailed);
    CPPUNIT_ASSERT_MESSAGE(ctl_.out(), Contains(ctl_.out(), "without_answer"));
    CPPUNIT_ASSERT_MESSAGE(ctl_.err(), Contains(ctl_.err(), "note: "));
  }

  // Guards against a story that is told in the order of the nodes.
  void WhyTellsTheDecisionsInOrder() {
    AdminServer node(NodeAnswer);
    CPPUNIT_ASSERT(Run(node, {"node", "why", kFlow}) == ExitCode::kOk);
    const size_t placed = ctl_.out().find("flow_placed");
    const size_t answered = ctl_.out().find("flow_answered");
    CPPUNIT_ASSERT_MESSAGE(ctl_.out(), placed != std::string::npos &&
                                           answered != std::string::npos &&
                                           placed < answered);
  }

  void UnknownFlowNamesTheRemedy() {
    AdminServer node(NodeAnswer);
    CPPUNIT_ASSERT(Run(node, {"node", "why", "1.2.3.4:5>6.7.8.9:10"}) !=
                   ExitCode::kOk);
    CPPUNIT_ASSERT_MESSAGE(ctl_.err(),
                           Contains(ctl_.err(), "CLIENT:PORT>SERVICE:PORT"));
  }

  void DamagedAnswerNamesTheRemedy() {
    AdminServer node([](const std::string&) { return "{\"name\":"; });
    CPPUNIT_ASSERT(Run(node, {"node", "status"}) != ExitCode::kOk);
    CPPUNIT_ASSERT_MESSAGE(ctl_.err(),
                           Contains(ctl_.err(), "check that --entry"));
  }

 private:
  ExitCode Run(const AdminServer& node, std::vector<std::string> words) {
    words.insert(words.begin(), {"--entry", node.address()});
    return ctl_.RunWithoutPlatform(words);
  }

  CtlHarness ctl_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeViewTest);

}  // namespace
}  // namespace skylarkshunt
