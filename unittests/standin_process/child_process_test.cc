#include "standins/process/child_process.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkshunt {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);

std::unique_ptr<ChildProcess> Shell(const std::string& script) {
  return ChildProcess::Start({{"/bin/sh", "-c", script}, ""}).value();
}

class ChildProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChildProcessTest);
  CPPUNIT_TEST(LinesAndExitCode);
  CPPUNIT_TEST(PausedProcessDoesNotEnd);
  CPPUNIT_TEST(StopEndsTheProcess);
  CPPUNIT_TEST(MissingProgramIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinesAndExitCode() {
    const auto child = Shell("echo one; echo two; echo three; exit 7");
    CPPUNIT_ASSERT_EQUAL(std::string("one"), *child->ReadLine(kLimit));
    CPPUNIT_ASSERT_EQUAL(std::string("two\nthree\n"), child->ReadAll(kLimit));
    CPPUNIT_ASSERT_EQUAL(7, *child->WaitForExit(kLimit));
    child->Stop();
    CPPUNIT_ASSERT(!child->ReadLine(kLimit).has_value());
  }

  // Guards against failure tests that believe a process to be paused.
  void PausedProcessDoesNotEnd() {
    const auto child = Shell("echo up; exec sleep 60");
    CPPUNIT_ASSERT(child->ReadLine(kLimit).has_value());
    child->Pause();
    child->Stop();
    CPPUNIT_ASSERT(!child->WaitForExit(absl::Milliseconds(50)).has_value());
    child->Resume();
    CPPUNIT_ASSERT_EQUAL(128 + 15, *child->WaitForExit(kLimit));
  }

  void StopEndsTheProcess() {
    const auto child =
        Shell("trap 'exit 3' TERM; echo up; while :; do :; done");
    CPPUNIT_ASSERT(child->ReadLine(kLimit).has_value());
    CPPUNIT_ASSERT(child->running());
    child->Stop();
    CPPUNIT_ASSERT_EQUAL(3, *child->WaitForExit(kLimit));
    CPPUNIT_ASSERT(!child->running());
  }

  void MissingProgramIsAnError() {
    const auto child = ChildProcess::Start({{"/nowhere/program"}, ""});
    CPPUNIT_ASSERT(!child.has_value());
    CPPUNIT_ASSERT(child.error().kind == ErrorKind::kNotFound);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChildProcessTest);

}  // namespace
}  // namespace skylarkshunt
