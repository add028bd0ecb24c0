#include "agent/target_pool.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(30);
/// A deadline that no test is meant to reach.
constexpr absl::Duration kLongDeadline = absl::Minutes(5);

/// A TCP server whose connections are handled by a function of the test.
class RawTarget {
 public:
  explicit RawTarget(std::function<void(int connection)> serve)
      : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
        serve_(std::move(serve)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT(bind(listener_, generic, size) == 0);
    CPPUNIT_ASSERT(listen(listener_, 8) == 0);
    CPPUNIT_ASSERT(getsockname(listener_, generic, &size) == 0);
    endpoint_ = Endpoint{INADDR_LOOPBACK, ntohs(address.sin_port)};
    thread_ = std::thread([this] { Run(); });
  }
  ~RawTarget() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  Endpoint endpoint() const { return endpoint_; }
  int connections() const { return connections_; }

 private:
  void Run() {
    for (;;) {
      const int connection = accept(listener_, nullptr, nullptr);
      if (connection < 0)
        return;
      ++connections_;
      serve_(connection);
      close(connection);
    }
  }

  const int listener_;
  const std::function<void(int)> serve_;
  Endpoint endpoint_;
  std::atomic<int> connections_{0};
  std::thread thread_;
};

/// Reads until the request's body "work" has arrived or the client closes.
/// Returns whether it arrived.
bool ReadRequest(int connection) {
  std::string text;
  char buffer[1024];
  while (text.find("\r\n\r\nwork") == std::string::npos) {
    const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
    if (size <= 0)
      return false;
    text.append(buffer, static_cast<size_t>(size));
  }
  return true;
}

void AwaitClose(int connection) {
  char byte = 0;
  while (recv(connection, &byte, 1, 0) > 0) {
  }
}

void Write(int connection, const std::string& text) {
  send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

class TargetPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetPoolTest);
  CPPUNIT_TEST(AnswerIsComplete);
  CPPUNIT_TEST(RefusedConnectionIsNotSent);
  CPPUNIT_TEST(LostAnswerIsNotRepeated);
  CPPUNIT_TEST(TruncatedAnswerIsLost);
  CPPUNIT_TEST(UnreadRequestCountsAsLost);
  CPPUNIT_TEST(UnresponsiveTargetTimesOut);
  CPPUNIT_TEST(SlowAnswerTimesOutAtTheDeadline);
  CPPUNIT_TEST(CancelClosesTheConnection);
  CPPUNIT_TEST(RunCancelledInTheQueueIsNotSent);
  CPPUNIT_TEST(PassedDeadlineIsNotSent);
  CPPUNIT_TEST(ShedRequestIsReportedAsNotRun);
  CPPUNIT_TEST(FullRingRefusesTheRun);
  CPPUNIT_TEST_SUITE_END();

  using Kind = RunResult::Kind;

 public:
  void AnswerIsComplete() {
    RawTarget target([](int connection) {
      ReadRequest(connection);
      Write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    });
    const RunResult result = RunOnce(target, kLongDeadline);
    CPPUNIT_ASSERT(result.kind == Kind::kAnswered);
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(result.status));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), result.body);
  }

  void RefusedConnectionIsNotSent() {
    Endpoint closed;
    {
      const RawTarget target([](int) {});
      closed = target.endpoint();
    }
    TargetPool pool(closed, {});
    pool.SetWorkers(1);
    CPPUNIT_ASSERT(pool.Start(MakeRun(1, kLongDeadline)));
    CPPUNIT_ASSERT(Await(pool).result.kind == Kind::kNotSent);
  }

  // Guards against "not run" for a request that ran, and against an HTTP client
  // that sends a request again by itself.
  void LostAnswerIsNotRepeated() {
    RawTarget target([](int connection) { ReadRequest(connection); });
    CPPUNIT_ASSERT(RunOnce(target, kLongDeadline).kind ==
                   Kind::kConnectionLost);
    CPPUNIT_ASSERT_EQUAL(1, target.connections());
  }

  // Guards against a truncated answer that is taken for a complete one.
  void TruncatedAnswerIsLost() {
    RawTarget target([](int connection) {
      ReadRequest(connection);
      Write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone");
    });
    CPPUNIT_ASSERT(RunOnce(target, kLongDeadline).kind ==
                   Kind::kConnectionLost);
  }

  // The target closes the connection at once; how much it read is unknown.
  void UnreadRequestCountsAsLost() {
    RawTarget target([](int) {});
    CPPUNIT_ASSERT(RunOnce(target, kLongDeadline).kind ==
                   Kind::kConnectionLost);
  }

  void UnresponsiveTargetTimesOut() {
    RawTarget target([](int connection) { AwaitClose(connection); });
    CPPUNIT_ASSERT(RunOnce(target, absl::Milliseconds(50)).kind ==
                   Kind::kTimedOut);
  }

  // Guards against a worker that a slow target holds past the deadline.
  void SlowAnswerTimesOutAtTheDeadline() {
    RawTarget target([](int connection) {
      ReadRequest(connection);
      Write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
      while (send(connection, "x", 1, MSG_NOSIGNAL) == 1)
        absl::SleepFor(absl::Milliseconds(5));
    });
    CPPUNIT_ASSERT(RunOnce(target, absl::Milliseconds(100)).kind ==
                   Kind::kTimedOut);
  }

  void CancelClosesTheConnection() {
    std::atomic<bool> received{false};
    RawTarget target([&](int connection) {
      received = ReadRequest(connection);
      AwaitClose(connection);
    });
    TargetPool pool(target.endpoint(), {});
    pool.SetWorkers(1);
    CPPUNIT_ASSERT(pool.Start(MakeRun(1, kLongDeadline)));
    CPPUNIT_ASSERT(WaitFor([&] { return received.load(); }));
    pool.Cancel(RunId{1});
    CPPUNIT_ASSERT(Await(pool).result.kind == Kind::kConnectionLost);
  }

  void RunCancelledInTheQueueIsNotSent() {
    std::atomic<bool> received{false};
    RawTarget target([&](int connection) {
      received = ReadRequest(connection);
      AwaitClose(connection);
    });
    TargetPool pool(target.endpoint(), {});
    pool.SetWorkers(1);
    CPPUNIT_ASSERT(pool.Start(MakeRun(1, kLongDeadline)));
    CPPUNIT_ASSERT(WaitFor([&] { return received.load(); }));
    CPPUNIT_ASSERT(pool.Start(MakeRun(2, kLongDeadline)));
    pool.Cancel(RunId{2});
    pool.Cancel(RunId{1});
    CPPUNIT_ASSERT(Await(pool).run == RunId{1});
    const RunEnded second = Await(pool);
    CPPUNIT_ASSERT(second.run == RunId{2});
    CPPUNIT_ASSERT(second.result.kind == Kind::kNotSent);
    CPPUNIT_ASSERT_EQUAL(1, target.connections());
  }

  void PassedDeadlineIsNotSent() {
    RawTarget target([](int connection) { AwaitClose(connection); });
    CPPUNIT_ASSERT(RunOnce(target, absl::ZeroDuration()).kind ==
                   Kind::kNotSent);
    CPPUNIT_ASSERT_EQUAL(0, target.connections());
  }

  void ShedRequestIsReportedAsNotRun() {
    RawTarget target([](int connection) {
      ReadRequest(connection);
      Write(connection,
            "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    CPPUNIT_ASSERT(RunOnce(target, kLongDeadline).shed_unrun);
  }

  // Guards against a run that is neither started nor reported as refused.
  void FullRingRefusesTheRun() {
    TargetPool pool(Endpoint{INADDR_LOOPBACK, 1}, {});
    for (size_t i = 0; i < kRunRingSlots; ++i)
      CPPUNIT_ASSERT(pool.Start(MakeRun(i + 1, kLongDeadline)));
    CPPUNIT_ASSERT(!pool.Start(MakeRun(1000, kLongDeadline)));
  }

 private:
  static bool WaitFor(const std::function<bool()>& condition) {
    const absl::Time end = absl::Now() + kLimit;
    while (!condition()) {
      if (absl::Now() > end)
        return false;
      absl::SleepFor(absl::Milliseconds(1));
    }
    return true;
  }

  static StartRun MakeRun(uint64_t run, absl::Duration deadline) {
    return StartRun{RunId{run}, RequestId{1, run}, "pull", "work",
                    MonotonicNow() + deadline};
  }

  static RunEnded Await(TargetPool& pool) {
    absl::optional<RunEnded> ended;
    CPPUNIT_ASSERT(
        WaitFor([&] { return (ended = pool.TryPop()).has_value(); }));
    return *ended;
  }

  static RunResult RunOnce(const RawTarget& target, absl::Duration deadline) {
    TargetPool pool(target.endpoint(), {});
    pool.SetWorkers(1);
    CPPUNIT_ASSERT(pool.Start(MakeRun(1, deadline)));
    return Await(pool).result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPoolTest);

}  // namespace
}  // namespace skylarkshunt
