#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <string>
#include <thread>

#include "daemon_fixture.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/edge/codec.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "skylarkshunt/platform/platform_client.h"
#include "standins/platform/platform_server.h"

namespace skylarkshunt {
namespace {

constexpr ServiceUid kFirstUid{0xa1};
constexpr ServiceUid kSecondUid{0xa2};

/// A target that counts its runs.
class CountingTarget {
 public:
  CountingTarget() {
    server_.Get("/health", [](const httplib::Request&, httplib::Response&) {});
    server_.Post("/request", [this](const httplib::Request& request,
                                    httplib::Response& response) {
      ++runs_;
      response.set_content(request.get_header_value("X-Kind") + " " +
                               request.get_header_value("X-Request-Id"),
                           "text/plain");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~CountingTarget() {
    WaitFor([this] { return server_.is_running(); });
    server_.stop();
    thread_.join();
  }
  CountingTarget(const CountingTarget&) = delete;
  CountingTarget& operator=(const CountingTarget&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int runs() const { return runs_; }

 private:
  httplib::Server server_;
  std::atomic<int> runs_{0};
  int port_ = 0;
  std::thread thread_;
};

class DaemonPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonPathTest);
  CPPUNIT_TEST(RequestsRunAtTheTarget);
  CPPUNIT_TEST(ServiceMadeAgainKeepsItsLedger);
  CPPUNIT_TEST(PeersReplaceAnUnreachablePlatform);
  CPPUNIT_TEST(EntriesOfOneDirectoryMeet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    PlatformServer::Options options;
    options.listen = kAnyPort;
    platform_ = PlatformServer::Start(options).value();
  }
  void tearDown() override { platform_.reset(); }

  // The whole path of an idempotent request, of one that runs at most once, and
  // of a repeat; then the end of both processes without a lost request.
  void RequestsRunAtTheTarget() {
    CountingTarget target;
    Daemon entry(EntrySettings(platform()));
    Daemon agent(AgentSettings(platform(), target.address()));
    entry.AwaitReady();
    agent.AwaitReady();
    WriteService();
    CPPUNIT_ASSERT(WaitFor([&] { return Targets(entry) == 1; }));
    const Answer pulled = Call(entry, MakeRequest("pull", 1));
    CPPUNIT_ASSERT(pulled.outcome == Outcome::kOk);
    CPPUNIT_ASSERT_EQUAL("pull " + ToHex(RequestId{1, 1}), pulled.body);
    Request report = MakeRequest("report", 2);
    const Answer bind = Call(entry, report);
    CPPUNIT_ASSERT(bind.outcome == Outcome::kBind);
    CPPUNIT_ASSERT_EQUAL(1, target.runs());
    report.binding = bind.binding;
    for (int repeat = 0; repeat < 3; ++repeat) {
      report.attempt = static_cast<uint32_t>(2 + repeat);
      const Answer reported = Call(entry, report);
      CPPUNIT_ASSERT(reported.outcome == Outcome::kOk);
      CPPUNIT_ASSERT_EQUAL("report " + ToHex(RequestId{1, 2}), reported.body);
    }
    CPPUNIT_ASSERT_EQUAL(2, target.runs());
    CPPUNIT_ASSERT(entry.LogHas("SKS2001 routed kind=opening"));
    CPPUNIT_ASSERT(agent.LogHas("SKS3007 binding_issued"));
    agent.process().Stop();
    CPPUNIT_ASSERT_EQUAL(0, agent.process().WaitForExit(kLimit).value_or(-1));
    // The agent's last heartbeat says that it leaves; its relay need not first
    // miss it.
    CPPUNIT_ASSERT(WaitFor([&] { return entry.LogHas("state=leaving"); }));
  }

  // A service is removed, made again under another uid, and restored under the
  // first. Guards against an agent that forgets what the first uid has run or
  // refuses new work for it.
  void ServiceMadeAgainKeepsItsLedger() {
    CountingTarget target;
    Daemon entry(EntrySettings(platform()));
    Daemon agent(AgentSettings(platform(), target.address()));
    entry.AwaitReady();
    agent.AwaitReady();
    Revision revision = WriteService();
    CPPUNIT_ASSERT(WaitFor([&] { return AgentServes(agent, kFirstUid); }));
    Request report = MakeRequest("report", 5);
    report.binding = Call(entry, report).binding;
    CPPUNIT_ASSERT(Call(entry, report).outcome == Outcome::kOk);
    CPPUNIT_ASSERT_EQUAL(1, target.runs());
    RemoveService(revision);
    revision = WriteService(kSecondUid);
    CPPUNIT_ASSERT(WaitFor([&] { return AgentServes(agent, kSecondUid); }));
    AwaitServed(entry, MakeRequest("pull", 6));
    CPPUNIT_ASSERT_EQUAL(2, target.runs());
    RemoveService(revision);
    WriteService();
    CPPUNIT_ASSERT(WaitFor([&] { return AgentServes(agent, kFirstUid); }));
    CPPUNIT_ASSERT(Call(entry, report).outcome == Outcome::kOk);
    CPPUNIT_ASSERT_EQUAL(2, target.runs());
    AwaitServed(entry, MakeRequest("pull", 7));
  }

  // Guards against an entry that needs the platform at its start.
  void PeersReplaceAnUnreachablePlatform() {
    WriteService();
    Daemon watcher(EntrySettings(platform()));
    watcher.AwaitReady();
    CPPUNIT_ASSERT(WaitFor([&] { return Services(watcher) == 1; }));
    nlohmann::json settings = EntrySettings(kClosedAddress);
    settings["seeds"] = {watcher.address("control").ToString()};
    Daemon isolated(settings);
    isolated.AwaitReady();
    CPPUNIT_ASSERT(
        WaitFor([&] { return isolated.LogHas("SKS6001 platform_failed"); }));
    CPPUNIT_ASSERT(WaitFor([&] { return Services(isolated) == 1; }));
    CountingTarget target;
    settings = AgentSettings(kClosedAddress, target.address());
    settings["seeds"] = {isolated.address("control").ToString()};
    Daemon agent(settings);
    agent.AwaitReady();
    CPPUNIT_ASSERT(WaitFor([&] { return Targets(isolated) == 1; }));
    const Answer answer = Call(isolated, MakeRequest("pull", 3));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kOk);
  }

  // Guards against entries that start at the same time and stay alone.
  void EntriesOfOneDirectoryMeet() {
    Daemon first(EntrySettings(platform()));
    Daemon second(EntrySettings(platform()));
    first.AwaitReady();
    second.AwaitReady();
    CPPUNIT_ASSERT(WaitFor(
        [&] { return Instances(first) == 2 && Instances(second) == 2; }));
  }

 private:
  std::string platform() const { return platform_->address().ToString(); }

  /// The agent serves a new uid before its next heartbeat tells the entry,
  /// which may refuse until then. The request id stays the same, so that a run
  /// too many shows in the target's count.
  static void AwaitServed(Daemon& entry, const Request& request) {
    CPPUNIT_ASSERT(
        WaitFor([&] { return Call(entry, request).outcome == Outcome::kOk; }));
  }

  Revision WriteService(ServiceUid uid = kFirstUid) {
    ServiceConfig config;
    config.uid = uid;
    config.name = "dispatch";
    config.apply_id = "1";
    config.kinds.push_back({"pull", 1, true, absl::Milliseconds(10)});
    config.kinds.push_back({"report", 1, false, absl::Milliseconds(10)});
    config.slots = 2;
    config.data_centres = {"zh-a"};
    config.drain_limit = absl::Seconds(1);
    return Client()
        ->Write("services/dispatch", WriteServiceConfig(config), Revision{})
        .value();
  }

  void RemoveService(Revision revision) {
    CPPUNIT_ASSERT(Client()->Remove("services/dispatch", revision).has_value());
  }

  std::unique_ptr<PlatformClient> Client() const {
    return PlatformClient::Create({platform_->address(), absl::Seconds(10)})
        .value();
  }

  static bool AgentServes(const Daemon& agent, ServiceUid service) {
    const nlohmann::json status = agent.Status();
    return !status.is_null() &&
           status["self"]["service"] == ToHex(ToNumber(service)) &&
           status["self"]["state"] == "serving";
  }

  static Request MakeRequest(const std::string& kind, uint64_t number) {
    Request request;
    request.service = "dispatch";
    request.kind = kind;
    request.flow_id = number;
    request.request_id = RequestId{1, number};
    request.opening = true;
    request.deadline_ms = 10'000;
    return request;
  }

  /// Sends `request` until an answer to it arrives, as callers do.
  static Answer Call(const Daemon& entry, const Request& request) {
    UdpSocket socket = UdpSocket::Bind(kAnyPort).value();
    const std::vector<uint8_t> bytes =
        EncodeCallerMessage(CallerMessage(request)).value();
    Answer answer;
    CPPUNIT_ASSERT(WaitFor([&] {
      socket.Send(entry.address("data"), bytes);
      WaitReadable({socket.fd()}, absl::Seconds(1));
      const absl::optional<Datagram> datagram = socket.Receive();
      if (!datagram.has_value())
        return false;
      answer = DecodeAnswer(datagram->bytes).value();
      // A pending answer announces the one that counts.
      return answer.request_id == request.request_id &&
             answer.outcome != Outcome::kPending;
    }));
    return answer;
  }

  static size_t Targets(const Daemon& entry) {
    return Snapshot(entry, "targets");
  }
  static size_t Services(const Daemon& entry) {
    return Snapshot(entry, "services");
  }
  static size_t Snapshot(const Daemon& entry, const char* key) {
    const nlohmann::json status = entry.Status();
    return status.is_null() ? 0 : status["snapshot"][key].get<size_t>();
  }
  static size_t Instances(const Daemon& entry) {
    const nlohmann::json status = entry.Status();
    return status.is_null() ? 0 : status["instances"].size();
  }

  std::unique_ptr<PlatformServer> platform_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonPathTest);

}  // namespace
}  // namespace skylarkshunt
