#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "absl/strings/str_cat.h"
#include "command_specs.h"
#include "ctl_harness.h"
#include "instance_status.h"

namespace skylarkshunt {
namespace {

constexpr char kAgentUid[] = "00000000000000a1";

std::string Instance(absl::string_view uid,
                     absl::string_view role,
                     absl::string_view state,
                     uint64_t applied,
                     absl::string_view admin = "127.0.0.1:1") {
  return absl::StrCat(
      R"({"uid":")", uid, R"(","role":")", role,
      R"(","service":"0000000000000007","service_name":")",
      role == "agent" ? "dispatch" : "",
      R"(","incarnation":"1","sequence":"2","state":")", state,
      R"(","region":"ch-nord","data_centre":"zh-a","data":"127.0.0.1:2",)",
      R"("control":"127.0.0.1:3","admin":")", admin,
      R"(","target":"127.0.0.1:4","slots":4,"applied":")", applied, "\"}");
}

std::string Status(const std::string& instances) {
  return absl::StrCat(
      R"({"self":{},"instances":[)", instances,
      R"(],"config":[{"key":"services/dispatch","revision":"12",)",
      R"("deleted":false}],"snapshot":{"services":1,"targets":1}})");
}

class ViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewTest);
  CPPUNIT_TEST(StatusCountsLiveInstancesOfTheService);
  CPPUNIT_TEST(ApplyWaitsUntilInForce);
  CPPUNIT_TEST(AcceptedApplyIsNeverCalledUnavailable);
  CPPUNIT_TEST(AgentViews);
  CPPUNIT_TEST(AddressesAreTakenByEveryCommand);
  CPPUNIT_TEST(DrainOfUnknownTargetIsRefused);
  CPPUNIT_TEST(DamagedStatusIsRejected);
  CPPUNIT_TEST(BadCommandLinesAreUsageErrors);
  CPPUNIT_TEST(HelpHasAnExampleForEveryCommand);
  CPPUNIT_TEST(ConfigCheckTellsFilesApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a dead instance that would hold "in force" up for ever.
  void StatusCountsLiveInstancesOfTheService() {
    const std::string instances =
        absl::StrCat(Instance("e1", "entry", "serving", 20), ",",
                     Instance(kAgentUid, "agent", "serving", 11), ",",
                     Instance("a2", "agent", "down", 1));
    AdminServer entry([&](const std::string&) { return Status(instances); });
    CtlHarness ctl;
    CPPUNIT_ASSERT(ctl.RunWithoutPlatform({"--entry", entry.address(),
                                           "service", "status", "dispatch"}) ==
                   ExitCode::kOk);
    CPPUNIT_ASSERT_MESSAGE(ctl.out(), Contains(ctl.out(), "1 of 2 instances"));
    CPPUNIT_ASSERT(ctl.RunWithoutPlatform(
                       {"--entry", entry.address(), "service", "status",
                        "dispatch", "--wait", "1"}) == ExitCode::kNotInForce);
    CPPUNIT_ASSERT(ctl.RunWithoutPlatform({"--entry", entry.address(),
                                           "service", "status", "absent"}) ==
                   ExitCode::kFailed);
  }

  void ApplyWaitsUntilInForce() {
    std::atomic<int> polls{0};
    const uint64_t applied = ToNumber(MakeRevision(Epoch{1}, 1));
    AdminServer entry([&](const std::string&) {
      return Status(
          Instance("e1", "entry", "serving", ++polls > 2 ? applied : 0));
    });
    CtlHarness ctl;
    CPPUNIT_ASSERT(ctl.Run({"--entry", entry.address(), "service", "apply",
                            ctl.WriteAnswers(4), "--wait", "60"}) ==
                   ExitCode::kOk);
    CPPUNIT_ASSERT(polls.load() > 2);
    CPPUNIT_ASSERT(Contains(ctl.out(), "in_force: yes"));
  }

  // Guards against "unavailable, nothing was changed" after a change.
  void AcceptedApplyIsNeverCalledUnavailable() {
    CtlHarness ctl;
    // The server ends at once; nothing listens at its address any more.
    const std::string silent =
        AdminServer([](const std::string&) { return ""; }).address();
    CPPUNIT_ASSERT(ctl.Run({"--entry", silent, "service", "apply",
                            ctl.WriteAnswers(4), "--wait", "1"}) ==
                   ExitCode::kNotInForce);
    CPPUNIT_ASSERT(Contains(ctl.out(), "revision: 1:1"));
    CPPUNIT_ASSERT(Contains(ctl.err(), "unavailable"));
  }

  void AgentViews() {
    AdminServer agent([](const std::string&) {
      return std::string(R"({"self":{},"stats":{"queued":3},"flows":[
        {"flow":"00000000000000f1","binding_issued_ms":5,"idle_ms":6}]})");
    });
    AdminServer entry([&](const std::string& path) {
      if (path == "/metrics")
        return std::string("# HELP x\nforwards{role=\"entry\"} 17\n");
      return Status(
          Instance(kAgentUid, "agent", "serving", 1, agent.address()));
    });
    CtlHarness ctl;
    const std::vector<std::string> base = {"--entry", entry.address()};
    ExpectOutput(ctl, base, {"target", "list"}, "127.0.0.1:4");
    ExpectOutput(ctl, base, {"flow", "show", "--target", kAgentUid},
                 "00000000000000f1");
    ExpectOutput(ctl, base, {"stats", "--target", kAgentUid}, "queued: 3");
    ExpectOutput(ctl, base, {"stats"}, "17");
    ExpectOutput(ctl, base, {"entry", "list", "--output", "json"}, "[]");
  }

  // Guards against an alias with both addresses that only some commands take.
  void AddressesAreTakenByEveryCommand() {
    CtlHarness ctl;
    for (const std::vector<std::string>& words :
         {std::vector<std::string>{"service", "list"}, {"version"}}) {
      std::vector<std::string> line = {"--entry", "127.0.0.1:1"};
      line.insert(line.end(), words.begin(), words.end());
      CPPUNIT_ASSERT(ctl.Run(line) == ExitCode::kOk);
    }
  }

  // Guards against a mistyped uid that drains nothing and reports success.
  void DrainOfUnknownTargetIsRefused() {
    AdminServer entry([](const std::string&) { return Status(""); });
    CtlHarness ctl;
    CPPUNIT_ASSERT(ctl.Run({"--entry", entry.address(), "target", "drain",
                            kAgentUid}) == ExitCode::kFailed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, ctl.writes());
  }

  void DamagedStatusIsRejected() {
    const std::string whole = Status(Instance("e1", "entry", "serving", 1));
    CPPUNIT_ASSERT(ParseEntryStatus(whole).has_value());
    for (size_t size = 0; size < whole.size(); ++size)
      CPPUNIT_ASSERT(!ParseEntryStatus(whole.substr(0, size)).has_value());
    CPPUNIT_ASSERT(
        !ParseAgentStatus(R"({"stats":{"a":"b"},"flows":[]})").has_value());
  }

  void BadCommandLinesAreUsageErrors() {
    CtlHarness ctl;
    const std::vector<std::vector<std::string>> lines = {
        {},
        {"service"},
        {"service", "apply"},
        {"service", "show", "a", "b"},
        {"service", "show", "../drains/x"},
        {"service", "list", "--wait", "5"},
        {"service", "apply", "f", "--wait", "5"},
        {"service", "status", "x"},
        {"version", "--output", "xml"},
        {"version", "--outpu", "json"},
        {"entry", "list", "--entry", "localhost:1"}};
    for (const std::vector<std::string>& line : lines) {
      CPPUNIT_ASSERT(ctl.Run(line) == ExitCode::kUsage);
      CPPUNIT_ASSERT(Contains(ctl.err(), "remedy: "));
    }
  }

  void HelpHasAnExampleForEveryCommand() {
    CtlHarness ctl;
    CPPUNIT_ASSERT(ctl.RunWithoutPlatform({"--help"}) == ExitCode::kOk);
    for (const CommandSpec& spec : CommandSpecs()) {
      CPPUNIT_ASSERT(Contains(ctl.out(), spec.example));
      CPPUNIT_ASSERT(Contains(std::string(spec.example), spec.words));
    }
  }

  // Guards against examples that the programs would reject.
  void ConfigCheckTellsFilesApart() {
    CtlHarness ctl;
    const std::string folder =
        absl::StrCat(SKYLARKSHUNT_SOURCE_DIR, "/examples/");
    for (const char* name :
         {"dispatch.json", "schemata.json", "registre.json", "archives.json"}) {
      const std::vector<std::string> line = {"config", "check", folder + name};
      CPPUNIT_ASSERT(ctl.RunWithoutPlatform(line) == ExitCode::kOk);
      CPPUNIT_ASSERT(Contains(ctl.out(), "questionnaire"));
    }
    for (const char* name : {"entry.json", "agent.json"}) {
      const std::vector<std::string> line = {"config", "check", folder + name};
      CPPUNIT_ASSERT(ctl.RunWithoutPlatform(line) == ExitCode::kOk);
      CPPUNIT_ASSERT(Contains(ctl.out(), "settings"));
    }
    CPPUNIT_ASSERT(
        ctl.RunWithoutPlatform({"config", "check", "/nonexistent"}) ==
        ExitCode::kFailed);
  }

 private:
  static void ExpectOutput(CtlHarness& ctl,
                           std::vector<std::string> line,
                           const std::vector<std::string>& words,
                           absl::string_view part) {
    line.insert(line.end(), words.begin(), words.end());
    const ExitCode code = ctl.RunWithoutPlatform(line);
    CPPUNIT_ASSERT_MESSAGE(ctl.err(), code == ExitCode::kOk);
    CPPUNIT_ASSERT_MESSAGE(ctl.out(), Contains(ctl.out(), part));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewTest);

}  // namespace
}  // namespace skylarkshunt
