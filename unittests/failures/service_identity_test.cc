#include "failure_fixture.h"

namespace skylarkshunt {
namespace {

class ServiceIdentityTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(ServiceIdentityTest);
  CPPUNIT_TEST(RecreatedServiceIsAnotherOne);
  CPPUNIT_TEST(ReusedAddressServesItsNewServiceOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // P2, P5: guards against a namesake that takes over the bindings, the
  // requests or the drain order of the service before it.
  void RecreatedServiceIsAnotherOne() {
    StartDeployment(46);
    const std::string uid = ServiceUidOf(0);
    const std::string target = Uid(0);
    LoadRun load = StartLoad("load", Options(10, 51));
    CPPUNIT_ASSERT_EQUAL(0, Ctl({"target", "drain", target}));
    CPPUNIT_ASSERT(
        WaitUntil([&] { return AllEntriesShow(target, "draining"); }));
    CPPUNIT_ASSERT_EQUAL(0,
                         Ctl({"service", "remove", "dispatch"}, absl::nullopt));
    CPPUNIT_ASSERT_EQUAL(0, Ctl({"service", "apply", service().questionnaire}));
    for (size_t agent = 0; agent < deployment().count(Role::kAgent); ++agent) {
      CPPUNIT_ASSERT(WaitUntil([&] { return ServiceUidOf(agent) != uid; }));
      CPPUNIT_ASSERT(
          WaitUntil([&] { return AllEntriesShow(Uid(agent), "serving"); }));
    }
    CPPUNIT_ASSERT(Uid(0) != target);
    FinishLoad(&load);
    LoadRun next = StartLoad("next", Options(2, 52));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, FinishLoad(&next).missing);
  }

  // P2: guards against packets of a flow that run at the service which has
  // taken over the address of their target.
  void ReusedAddressServesItsNewServiceOnly() {
    StartDeployment(47, 2);
    const Endpoint target = deployment().targets(0)[0];
    LoadRun load = StartLoad("load", Options(10, 53));
    deployment().process(Role::kAgent, 0).Kill();
    CPPUNIT_ASSERT(WaitUntil([&] { return RunningAt(target) == 0; }));
    const uint64_t before = RunsAt(target);
    CPPUNIT_ASSERT(before > 0);
    const auto agent = deployment().AddAgent(1, target);
    CPPUNIT_ASSERT(agent.has_value());
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return AllEntriesShow(Uid(agent.value()), "serving"); }));
    // Idempotent requests move; the outcome of the others may be unknown.
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, FinishLoad(&load).timed_out);
    // The load of the first service reached the target no more.
    CPPUNIT_ASSERT_EQUAL(before, RunsAt(target));
    used_targets_ = deployment().targets(1);
    used_targets_.push_back(target);
    LoadRun other = StartLoad("other", Options(2, 54), 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, FinishLoad(&other, 1).missing);
    CPPUNIT_ASSERT(RunsAt(target) > before);
  }

 private:
  std::string ServiceUidOf(size_t agent) const {
    const nlohmann::json status = Status(Role::kAgent, agent);
    return status.empty() ? "" : status["self"]["service"].get<std::string>();
  }

  static LoadRun::Options Options(int seconds, uint64_t seed) {
    LoadRun::Options options;
    options.utilisation = 0.3;
    options.flows = 60;
    options.duration = absl::Seconds(seconds);
    options.seed = seed;
    return options;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceIdentityTest);

}  // namespace
}  // namespace skylarkshunt
