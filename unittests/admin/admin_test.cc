#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkshunt/admin/admin_server.h"

namespace skylarkshunt {
namespace {

const Endpoint kAnyPort{0x7f000001, 0};

class AdminTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdminTest);
  CPPUNIT_TEST(HealthFollowsTheBoard);
  CPPUNIT_TEST(StatusKeepsLargeNumbers);
  CPPUNIT_TEST(AgentStatusHasItsStatistics);
  CPPUNIT_TEST(MetricsListCounters);
  CPPUNIT_TEST(TakenPortIsNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_ = AdminServer::Start(kAnyPort, counters_, board_).value();
  }
  void tearDown() override { server_.reset(); }

  // Guards against new work for a process that drains.
  void HealthFollowsTheBoard() {
    CPPUNIT_ASSERT_EQUAL(200, Ask("/healthz")->status);
    board_.SetHealthy(false);
    CPPUNIT_ASSERT_EQUAL(503, Ask("/healthz")->status);
  }

  // Guards against numbers above 2^53, which many JSON readers round.
  void StatusKeepsLargeNumbers() {
    CPPUNIT_ASSERT_EQUAL(503, Ask("/status")->status);
    EntryStatus status;
    status.self.uid = InstanceUid{1};
    InstanceRecord agent;
    agent.uid = InstanceUid{0xfedcba9876543210};
    agent.service = ServiceUid{7};
    agent.incarnation = Incarnation{18446744073709551615U};
    agent.state = InstanceState::kDraining;
    agent.target = Endpoint{0x7f000001, 80};
    status.instances.push_back(agent);
    status.service_names[ServiceUid{7}] = "dispatch";
    status.config.push_back({"drains/1", Revision{9007199254740993}, true, ""});
    board_.Publish(status);
    const nlohmann::json json = nlohmann::json::parse(Ask("/status")->body);
    const nlohmann::json& instance = json["instances"][0];
    CPPUNIT_ASSERT(json["self"]["uid"] == "0000000000000001");
    CPPUNIT_ASSERT(instance["uid"] == "fedcba9876543210");
    CPPUNIT_ASSERT(instance["incarnation"] == "18446744073709551615");
    CPPUNIT_ASSERT(instance["service_name"] == "dispatch");
    CPPUNIT_ASSERT(instance["state"] == "draining");
    CPPUNIT_ASSERT(instance["target"] == "127.0.0.1:80");
    CPPUNIT_ASSERT(json["config"][0]["revision"] == "9007199254740993");
    CPPUNIT_ASSERT(json["config"][0]["deleted"] == true);
  }

  void AgentStatusHasItsStatistics() {
    AgentStatus status;
    status.service_name = "dispatch";
    status.stats.completed = 5;
    board_.Publish(status);
    const nlohmann::json json = nlohmann::json::parse(Ask("/status")->body);
    CPPUNIT_ASSERT(json["self"]["service_name"] == "dispatch");
    CPPUNIT_ASSERT(json["stats"]["completed"] == 5);
    CPPUNIT_ASSERT(json["flows"].is_array());
  }

  void MetricsListCounters() {
    counters_.Find("tested_total", "A counter.").Add(3);
    CPPUNIT_ASSERT(Ask("/metrics")->body.find("tested_total 3\n") !=
                   std::string::npos);
  }

  // Guards against two processes that share one admin address, as httplib's
  // defaults allow.
  void TakenPortIsNamed() {
    const auto second = AdminServer::Start(server_->local(), counters_, board_);
    CPPUNIT_ASSERT(!second.has_value());
    CPPUNIT_ASSERT(second.error().kind == ErrorKind::kAddressInUse);
  }

 private:
  httplib::Result Ask(const std::string& path) {
    httplib::Client client("127.0.0.1", server_->local().port);
    httplib::Result answer = client.Get(path);
    CPPUNIT_ASSERT(answer);
    return answer;
  }

  CounterRegistry counters_;
  StatusBoard board_;
  std::unique_ptr<AdminServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminTest);

}  // namespace
}  // namespace skylarkshunt
