#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <future>
#include <vector>

#include "standins/target/target_server.h"

namespace skylarkshunt {
namespace {

constexpr Endpoint kAnyPort{0x7f000001, 0};
constexpr time_t kLimitS = 20;

WorkOrder Order(uint64_t number) {
  return WorkOrder{RequestId{1, number}, 50, absl::Milliseconds(1)};
}

httplib::Result Post(const TargetServer& server, const WorkOrder& order) {
  httplib::Client client("127.0.0.1", server.address().port);
  client.set_read_timeout(kLimitS);
  const httplib::Headers headers = {{"X-Request-Id", ToHex(order.request_id)},
                                    {"X-Deadline-Ms", "10000"},
                                    {"X-Kind", "filing"}};
  return client.Post("/request", headers, WriteWorkOrder(order), "text/plain");
}

class TargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetTest);
  CPPUNIT_TEST(DoubledRunIsFound);
  CPPUNIT_TEST(FaultsShowInTheAnswer);
  CPPUNIT_TEST(FullQueueShedsUnrun);
  CPPUNIT_TEST(HealthLies);
  CPPUNIT_TEST(BadInputIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Target::Options options;
    options.slots = 1;
    options.queue = 1;
    server_ = TargetServer::Start(kAnyPort, options).value();
  }
  void tearDown() override { server_.reset(); }

  // Guards against tests that count doubled runs and cannot see them.
  void DoubledRunIsFound() {
    const WorkOrder order = Order(1);
    for (int i = 0; i < 2; ++i) {
      const auto answer = Post(*server_, order);
      CPPUNIT_ASSERT(answer && answer->status == 200);
      CPPUNIT_ASSERT(answer->body == MakeAnswer(order.request_id, 50));
    }
    Post(*server_, Order(2));
    const RunLog log = server_->target().Log();
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, log.kinds().at("filing").doubled);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, log.kinds().at("filing").runs);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, log.runs().at(order.request_id).count);
  }

  void FaultsShowInTheAnswer() {
    Fault(R"({"mode":"fail"})");
    CPPUNIT_ASSERT_EQUAL(500, Post(*server_, Order(1))->status);
    // The work was done and the answer is lost.
    Fault(R"({"mode":"cut_after_run"})");
    CPPUNIT_ASSERT(!Post(*server_, Order(2)));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->target().Log().runs().size());
    Fault(R"({"mode":"shed"})");
    const auto shed = Post(*server_, Order(3));
    CPPUNIT_ASSERT_EQUAL(503, shed->status);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), shed->get_header_value("X-Not-Run"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->target().Log().runs().size());
  }

  // Guards against a target that runs more than its slots, or runs what it
  // said it shed.
  void FullQueueShedsUnrun() {
    Fault(R"({"mode":"hang"})");
    std::vector<std::future<httplib::Result>> posts;
    for (uint64_t i = 1; i <= 2; ++i) {
      posts.push_back(std::async(
          std::launch::async, [this, i] { return Post(*server_, Order(i)); }));
      WaitUntilTaken(i);
    }
    CPPUNIT_ASSERT_EQUAL(503, Post(*server_, Order(3))->status);
    Fault(R"({"mode":"serve"})");
    for (auto& post : posts) {
      const auto answer = post.get();
      CPPUNIT_ASSERT(answer && answer->status == 200);
    }
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, server_->target().Counts().max_running);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, server_->target().Log().runs().size());
  }

  void HealthLies() {
    httplib::Client client("127.0.0.1", server_->address().port);
    Fault(R"({"mode":"fail"})");
    CPPUNIT_ASSERT_EQUAL(200, client.Get("/health")->status);
    Fault(R"({"mode":"fail","health":"truthful"})");
    CPPUNIT_ASSERT_EQUAL(503, client.Get("/health")->status);
    Fault(R"({"health":"truthful","lag_ms":600000,"claimed_running":9})");
    CPPUNIT_ASSERT_EQUAL(503, client.Get("/health")->status);
  }

  void BadInputIsRefused() {
    for (const char* bad : {"", "x 1 1", "0 1 1"})
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseWorkOrder(bad));
    CPPUNIT_ASSERT(!ParseTargetFaults(R"({"mode":"broken"})"));
    CPPUNIT_ASSERT(!ParseTargetFaults(R"({"moode":"fail"})"));
    httplib::Client client("127.0.0.1", server_->address().port);
    const httplib::Headers other = {{"X-Request-Id", ToHex(RequestId{9, 9})},
                                    {"X-Deadline-Ms", "1000"}};
    const auto answer =
        client.Post("/request", other, WriteWorkOrder(Order(1)), "text/plain");
    CPPUNIT_ASSERT_EQUAL(400, answer->status);
  }

 private:
  void Fault(const std::string& json) {
    httplib::Client client("127.0.0.1", server_->address().port);
    CPPUNIT_ASSERT_EQUAL(
        200, client.Post("/fault", json, "application/json")->status);
  }

  void WaitUntilTaken(uint64_t requests) {
    const absl::Time limit = absl::Now() + absl::Seconds(kLimitS);
    while (absl::Now() < limit) {
      const TargetCounts counts = server_->target().Counts();
      if (counts.running + counts.queued >= requests)
        return;
      absl::SleepFor(absl::Milliseconds(1));
    }
    CPPUNIT_FAIL("the target did not take the request");
  }

  std::unique_ptr<TargetServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTest);

}  // namespace
}  // namespace skylarkshunt
