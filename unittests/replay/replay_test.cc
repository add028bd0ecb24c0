#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "outcomes.h"
#include "replay.h"

namespace skylarkshunt {
namespace {

constexpr char kTrace[] =
    SKYLARKSHUNT_SOURCE_DIR "/traces/bureau-registre.jsonl";
constexpr char kConfiguration[] =
    R"({"at_ms":0,"event":"configuration","targets":2,"questionnaire":)"
    R"({"service":"s","kinds":[{"name":"k","weight":1,"idempotent":true,)"
    R"("usual_duration_ms":10}],"slots":1,"connections":10,)"
    R"("data_centres":["a"],"deadline_ms":1000}})"
    "\n";

RunRecord Replay(const ReplayOptions& options) {
  const Trace trace = ParseTrace(ReadTextFile(kTrace).value(), kTrace).value();
  return ReplayTrace(trace, options).value();
}

std::string ErrorOf(const std::string& line) {
  const Result<Trace> trace =
      ParseTrace(absl::StrCat(kConfiguration, line), "t");
  return trace.has_value() ? "" : trace.error().message;
}

std::string WriteTemporary(const std::string& name, const std::string& text) {
  std::string path =
      absl::StrCat(SKYLARKSHUNT_BINARY_DIR, "/replay_test_", name);
  std::ofstream(path) << text;
  return path;
}

int RunProgram(const std::string& trace, const std::string& outcomes) {
  const std::string output = WriteTemporary("output", "");
  const int status = std::system(
      absl::StrCat(SKYLARKSHUNT_BINARY_DIR, "/skylarkshunt-replay ", trace,
                   " --outcomes ", outcomes, " >", output, " 2>&1")
          .c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string ProgramOutput() {
  return ReadTextFile(SKYLARKSHUNT_BINARY_DIR "/replay_test_output").value();
}

}  // namespace

class ReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayTest);
  CPPUNIT_TEST(SafetyHoldsOverPlannedChanges);
  CPPUNIT_TEST(SafetyHoldsWithHeavyLossAndDuplication);
  CPPUNIT_TEST(SameSeedGivesSameRun);
  CPPUNIT_TEST(BadLinesAreNamed);
  CPPUNIT_TEST(UnmetAimFailsTheProgram);
  CPPUNIT_TEST(BadTraceFailsTheProgram);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a change of policy that breaks flows in a drain, a change
  /// of entries or a new configuration, or that runs or refuses untruly.
  void SafetyHoldsOverPlannedChanges() {
    const RunRecord run = Replay({});
    CPPUNIT_ASSERT(run.requests.size() > 1000);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, run.broken_flows);
    CheckSafety(run);
  }

  /// Guards against copies that run a filing twice or make a refusal false.
  void SafetyHoldsWithHeavyLossAndDuplication() {
    ReplayOptions options;
    options.loss = 0.05;
    options.duplication = 0.05;
    CheckSafety(Replay(options));
  }

  /// Guards against a clock or an unseeded source in the driver.
  void SameSeedGivesSameRun() {
    const RunRecord a = Replay({});
    const RunRecord b = Replay({});
    CPPUNIT_ASSERT(a.target_seconds == b.target_seconds);
    CPPUNIT_ASSERT(a.refusals == b.refusals);
    for (size_t i = 0; i < a.requests.size(); ++i)
      CPPUNIT_ASSERT(a.requests[i].ended_at == b.requests[i].ended_at);
  }

  /// Guards against a trace that is read in part or wrongly without a word.
  void BadLinesAreNamed() {
    const std::string good =
        R"({"at_ms":5,"service":"s","flow":1,"kind":"k","run_ms":3,)"
        R"("answer_bytes":9})";
    CPPUNIT_ASSERT_EQUAL(std::string(), ErrorOf(good));
    const std::string bad[] = {
        good.substr(0, 20),
        R"({"at_ms":5,"service":"other","flow":1,"kind":"k","run_ms":3,"answer_bytes":9})",
        R"({"at_ms":5,"service":"s","flow":1,"kind":"other","run_ms":3,"answer_bytes":9})",
        R"({"at_ms":5,"service":"s","flow":1,"kind":"k","run_ms":"3","answer_bytes":9})",
        R"({"at_ms":5,"service":"s","flow":1,"kind":"k","run_ms":3,"answer_bytes":9,"x":1})",
        R"({"at_ms":5,"service":"s","flow":1,"kind":"k","run_ms":1e7,"answer_bytes":9})",
        R"({"at_ms":5,"event":"explode"})",
        R"({"at_ms":5,"event":"drain","service":"s","target":2})",
        R"({"at_ms":5,"event":"kill","service":"s","target":1})"};
    for (const std::string& line : bad) {
      const std::string message = ErrorOf(line);
      CPPUNIT_ASSERT_MESSAGE(line, absl::StrContains(message, "t:2"));
    }
    CPPUNIT_ASSERT(absl::StrContains(
        ErrorOf(good + "\n{\"at_ms\":4,\"event\":\"new_entry\"}"), "t:3"));
    CPPUNIT_ASSERT(!ParseTrace("", "t").has_value());
  }

  /// Guards against a program that ends well although an aim is not met.
  void UnmetAimFailsTheProgram() {
    const std::string outcomes = WriteTemporary(
        "unmet", R"({"short_kinds":["retrieve"],"aims":[)"
                 R"({"measure":"doubled","at_most":0},)"
                 R"({"measure":"imbalance","at_most":0.5},)"
                 R"({"measure":"slowdown_ratio","at_most":2}]})");
    CPPUNIT_ASSERT_EQUAL(1, RunProgram(kTrace, outcomes));
    const std::string output = ProgramOutput();
    CPPUNIT_ASSERT(absl::StrContains(output, "MET     doubled at most 0: 0"));
    CPPUNIT_ASSERT(absl::StrContains(output, "NOT MET imbalance at most 0.5"));
    // Without the run that it needs, an aim is not met.
    CPPUNIT_ASSERT(absl::StrContains(
        output, "NOT MET slowdown_ratio at most 2: not measured"));
    const std::string met =
        WriteTemporary("met", R"({"short_kinds":[],"aims":[)"
                              R"({"measure":"doubled","at_most":0}]})");
    CPPUNIT_ASSERT_EQUAL(0, RunProgram(kTrace, met));
  }

  /// Guards against a program that reports figures of a trace it cannot read.
  void BadTraceFailsTheProgram() {
    const std::string met =
        WriteTemporary("met", R"({"short_kinds":[],"aims":[]})");
    const std::string trace =
        WriteTemporary("bad", absl::StrCat(kConfiguration, "{\"at_ms\":}"));
    CPPUNIT_ASSERT_EQUAL(2, RunProgram(trace, met));
    CPPUNIT_ASSERT(absl::StrContains(ProgramOutput(), "replay_test_bad:2"));
    CPPUNIT_ASSERT_EQUAL(2, RunProgram(kTrace, trace));
    const std::string unknown = WriteTemporary(
        "unknown",
        absl::StrCat(kConfiguration,
                     R"({"at_ms":5,"event":"lose_entry","entry":99})"));
    CPPUNIT_ASSERT_EQUAL(2, RunProgram(unknown, met));
  }

 private:
  static void CheckSafety(const RunRecord& run) {
    const Figures figures = ComputeFigures(run, {});
    CPPUNIT_ASSERT_EQUAL(0.0, figures.doubled);
    CPPUNIT_ASSERT_EQUAL(0.0, figures.lost);
    CPPUNIT_ASSERT_EQUAL(0.0, figures.falsely_refused);
    CPPUNIT_ASSERT_EQUAL(0.0, figures.wrong_answers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);

}  // namespace skylarkshunt
