#include "skylarkshunt/base/log_writer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "skylarkshunt/base/event.h"

namespace skylarkshunt {
namespace {

constexpr EventId kTestEvent{1099, "test_line"};

/// Replaces standard output by a pipe that is read only on demand.
class PipedOutput {
 public:
  PipedOutput() : saved_(dup(STDOUT_FILENO)) {
    CPPUNIT_ASSERT(pipe(ends_.data()) == 0);
    dup2(ends_[1], STDOUT_FILENO);
    close(ends_[1]);
    FLAGS_logtostderr = false;
    FLAGS_logtostdout = true;
  }
  ~PipedOutput() {
    Restore();
    close(ends_[0]);
    FLAGS_logtostdout = false;
    FLAGS_logtostderr = true;
  }

  /// Reads until everybody has closed the pipe.
  std::string ReadToEnd() {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(ends_[0], buffer.data(), buffer.size())) > 0)
      text.append(buffer.data(), static_cast<size_t>(size));
    return text;
  }
  /// Reads what is in the pipe. Waits up to `limit` for the first byte, and
  /// returns nothing if none arrives.
  std::string ReadOnce(absl::Duration limit) {
    pollfd readable{ends_[0], POLLIN, 0};
    std::array<char, 4096> buffer{};
    if (poll(&readable, 1,
             static_cast<int>(absl::ToInt64Milliseconds(limit))) <= 0)
      return "";
    const ssize_t size = read(ends_[0], buffer.data(), buffer.size());
    return {buffer.data(), static_cast<size_t>(std::max<ssize_t>(0, size))};
  }
  void Restore() {
    if (saved_ < 0)
      return;
    fflush(stdout);
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    saved_ = -1;
  }

 private:
  int saved_;
  std::array<int, 2> ends_{};
};

class LogWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogWriterTest);
  CPPUNIT_TEST(SlowReaderDelaysNobodyAndLossIsReported);
  CPPUNIT_TEST(EndsSoonWithoutLines);
  CPPUNIT_TEST(EndDoesNotWaitForAStoppedReader);
  CPPUNIT_TEST(LinesCarryTheTimeOfTheirEvent);
  CPPUNIT_TEST(LinesAreWrittenBeforeTheProcessEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a data thread that waits for the reader of the log, and
  // against lines that are left out silently.
  void SlowReaderDelaysNobodyAndLossIsReported() {
    PipedOutput output;
    auto writer = LogWriter::Start();
    const absl::Time start = absl::Now();
    constexpr int kLines = 20'000;
    for (int i = 0; i < kLines; ++i)
      LogLine(kTestEvent).Field("text", std::string(200, 'x'));
    // Far more than the pipe and the ring hold, and nobody has read yet.
    CPPUNIT_ASSERT(absl::Now() - start < absl::Seconds(20));
    std::string text;
    std::thread reader([&] { text = output.ReadToEnd(); });
    writer.reset();
    output.Restore();
    reader.join();
    CPPUNIT_ASSERT(text.find("SKS1010 log_lines_left_out event=SKS1099") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find("SKS1099 test_line text=xxx") !=
                   std::string::npos);
  }

  // Guards against a node that is killed since its log writer still waits.
  void EndsSoonWithoutLines() {
    auto writer = LogWriter::Start();
    const absl::Time start = absl::Now();
    writer.reset();
    CPPUNIT_ASSERT(absl::Now() - start < absl::Milliseconds(900));
  }

  // Guards against a process that is killed at the end of its grace time since
  // nobody reads its log, and against the use of a writer that is gone by
  // threads that still log.
  void EndDoesNotWaitForAStoppedReader() {
    PipedOutput output;
    auto writer = LogWriter::Start();
    for (int i = 0; i < 2'000; ++i)
      LogLine(kTestEvent).Field("text", std::string(200, 'x'));
    const absl::Time start = absl::Now();
    CPPUNIT_ASSERT(!writer->Finish(absl::Milliseconds(100)));
    CPPUNIT_ASSERT(absl::Now() - start < absl::Seconds(2));
    LogLine(kTestEvent).Field("text", "late");
    std::string text;
    std::thread reader([&] { text = output.ReadToEnd(); });
    writer.reset();
    output.Restore();
    reader.join();
    CPPUNIT_ASSERT(text.find("text=late") != std::string::npos);
  }

  // Guards against lines whose time is that of the writer, up to 100 ms after
  // the decision that they report.
  void LinesCarryTheTimeOfTheirEvent() {
    PipedOutput output;
    auto writer = LogWriter::Start();
    const absl::Time before = absl::Now();
    LogLine(kTestEvent).Field("text", "timed");
    const absl::Time after = absl::Now();
    CPPUNIT_ASSERT(writer->Finish(absl::Seconds(5)));
    std::string text;
    std::thread reader([&] { text = output.ReadToEnd(); });
    writer.reset();
    output.Restore();
    reader.join();
    absl::Time logged;
    std::string error;
    CPPUNIT_ASSERT_MESSAGE(
        text, absl::ParseTime(absl::RFC3339_full,
                              text.substr(0, text.find(' ')), &logged, &error));
    CPPUNIT_ASSERT(logged >= absl::FromUnixMicros(absl::ToUnixMicros(before)) &&
                   logged <= after);
    CPPUNIT_ASSERT(text.find(" info SKS1099 test_line text=timed") !=
                   std::string::npos);
  }

  // Guards against lines that stay in the buffer of standard output, and are
  // lost when the process is killed or calls _exit().
  void LinesAreWrittenBeforeTheProcessEnds() {
    PipedOutput output;
    auto writer = LogWriter::Start();
    LogLine(kTestEvent).Field("text", "first");
    const std::string while_running = output.ReadOnce(absl::Seconds(10));
    LogLine(kTestEvent).Field("text", "last");
    const bool finished = writer->Finish(absl::Seconds(10));
    const std::string at_end = output.ReadOnce(absl::ZeroDuration());
    writer.reset();
    output.Restore();
    CPPUNIT_ASSERT(while_running.find("text=first") != std::string::npos);
    CPPUNIT_ASSERT(finished);
    CPPUNIT_ASSERT(at_end.find("text=last") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

}  // namespace
}  // namespace skylarkshunt
