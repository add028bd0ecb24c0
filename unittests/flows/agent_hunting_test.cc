#include <cppunit/extensions/HelperMacros.h>

#include "flows/agent_test_support.h"

namespace skylarkshunt {
namespace {

class AgentHuntingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentHuntingTest);
  CPPUNIT_TEST(BusyAgentForwardsWithItsLoad);
  CPPUNIT_TEST(LastCandidateReturnsRequestToMuchLowerLoad);
  CPPUNIT_TEST(LastCandidateKeepsRequestAtSimilarLoad);
  CPPUNIT_TEST(FinalHopDoesNotForward);
  CPPUNIT_TEST(BoundRequestGoesToItsAgent);
  CPPUNIT_TEST(ReusedAddressEndsTheSearch);
  CPPUNIT_TEST(UnknownFlowIsForwarded);
  CPPUNIT_TEST(FullFlowTableRefusesNewFlow);
  CPPUNIT_TEST(HopsAreBounded);
  CPPUNIT_TEST(PolicyWithoutSecondCandidateKeepsRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BusyAgentForwardsWithItsLoad() {
    TestAgent agent(0);
    Occupy(agent, 3);
    const SendForward forwarded = OnlyForward(agent.Send(New(10), 2));
    CPPUNIT_ASSERT(forwarded.agent == TestCandidate(1).data);
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(forwarded.forward.position));
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(forwarded.forward.hops));
    CPPUNIT_ASSERT_EQUAL(uint16_t{1500}, forwarded.forward.lowest_load);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(forwarded.forward.lowest_index));
    CPPUNIT_ASSERT(!forwarded.forward.final_hop);
  }

  void LastCandidateReturnsRequestToMuchLowerLoad() {
    TestAgent agent(1);
    Occupy(agent, 3);
    const SendForward back =
        OnlyForward(agent.Send(ForwardedWithLoad(agent, 1000)));
    CPPUNIT_ASSERT(back.agent == TestCandidate(0).data);
    CPPUNIT_ASSERT(back.forward.final_hop);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(back.forward.position));
  }

  void LastCandidateKeepsRequestAtSimilarLoad() {
    TestAgent agent(1);
    Occupy(agent, 3);
    CPPUNIT_ASSERT(
        Select<SendForward>(agent.Send(ForwardedWithLoad(agent, 1400)))
            .empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, agent.core().Stats().queued);
    // An agent that takes no flows returns the request even to a loaded one.
    agent.core().OnDrainOrder(agent.now(), true);
    OnlyForward(agent.Send(ForwardedWithLoad(agent, 5000)));
    Forward nowhere = ForwardedWithLoad(agent, kLoadFull);
    Expect(agent.Send(nowhere), Outcome::kRefused, Reason::kDraining);
  }

  void FinalHopDoesNotForward() {
    TestAgent agent(0);
    Occupy(agent, 3);
    Forward forward = agent.Wrap(New(10), 2);
    forward.final_hop = true;
    CPPUNIT_ASSERT(Select<SendForward>(agent.Send(forward)).empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, agent.core().Stats().queued);
  }

  void BoundRequestGoesToItsAgent() {
    TestAgent agent(0);
    const Binding other{TestCandidate(2).uid, TestCandidate(2).incarnation, 5};
    for (const char* kind : {kReport, kPull}) {
      const SendForward forwarded =
          OnlyForward(agent.Send(MakeRequest(10, kind, other), 3));
      CPPUNIT_ASSERT(forwarded.agent == TestCandidate(2).data);
      CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(forwarded.forward.position));
    }
    // A pull that the bound agent forwarded does not return to it.
    TestAgent last(2);
    const Binding first{TestCandidate(0).uid, TestCandidate(0).incarnation, 5};
    Forward pull = last.Wrap(MakeRequest(10, kPull, first), 3);
    OnlyForward(last.Send(pull));
    pull.hops = 1;
    OnlyStart(last.Send(pull));
  }

  // Guards against an endless loop: an agent that has taken over the bound
  // target's address would forward the message to itself.
  void ReusedAddressEndsTheSearch() {
    TestAgent agent(0);
    const Binding other{InstanceUid{99}, Incarnation{1}, 5};
    Forward forward = agent.Wrap(MakeRequest(10, kReport, other));
    forward.candidates[0].uid = InstanceUid{99};
    const AgentActions actions = agent.Send(forward);
    CPPUNIT_ASSERT(Select<SendForward>(actions).empty());
    Expect(actions, Outcome::kOutcomeUnknown, Reason::kWrongInstance);
  }

  void UnknownFlowIsForwarded() {
    TestAgent agent(0);
    Request request = New(10);
    request.opening = false;
    OnlyForward(agent.Send(request, 2));
    Expect(agent.Send(request, 1), Outcome::kRefused, Reason::kFlowUnknown);
    // A flow that the agent holds is not forwarded.
    agent.Bind(request.flow_id);
    agent.Start(request, 2);
    agent.Send(agent.Wrap(Close{kTestServiceName, 50, absl::nullopt}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, agent.core().Stats().flows);
  }

  void FullFlowTableRefusesNewFlow() {
    TestAgent agent(0);
    for (uint64_t flow = 1; flow <= 8; ++flow)
      agent.Bind(flow);
    Request request = New(20);
    request.flow_id = 20;
    Expect(agent.Send(request), Outcome::kRefused, Reason::kFlowLimit);
    // Flows whose binding was never used expire after kUnusedFlowIdleLimit.
    agent.Advance(kUnusedFlowIdleLimit);
    agent.Start(request);
    agent.Advance(kFlowIdleLimit - absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, agent.core().Stats().flows);
    agent.Advance(absl::Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, agent.core().Stats().flows);
  }

  void HopsAreBounded() {
    TestAgent agent(0);
    Occupy(agent, 3);
    Forward forward = agent.Wrap(New(10), 2);
    forward.hops = kMaxHops;
    CPPUNIT_ASSERT(Select<SendForward>(agent.Send(forward)).empty());
  }

  void PolicyWithoutSecondCandidateKeepsRequests() {
    AgentPolicy policy;
    policy.no_second_candidate = true;
    TestAgent agent(0, {}, policy);
    Occupy(agent, 3);
    CPPUNIT_ASSERT(Select<SendForward>(agent.Send(New(10), 2)).empty());
  }

 private:
  static Request New(uint64_t id) {
    Request request = MakeRequest(id, kPull);
    request.flow_id = 50;
    return request;
  }

  static void Occupy(TestAgent& agent, size_t requests) {
    for (size_t i = 0; i < requests; ++i) {
      Forward forward = agent.Wrap(MakeRequest(800 + i, kPull));
      forward.final_hop = true;
      agent.Send(forward);
    }
  }

  // Returns an opening message that candidate 0 forwarded with `load`.
  static Forward ForwardedWithLoad(TestAgent& agent, uint16_t load) {
    Forward forward = agent.Wrap(New(10), 2);
    forward.hops = 1;
    forward.lowest_load = load;
    forward.lowest_index = 0;
    std::get<Request>(forward.message).request_id.low += load;
    std::get<Request>(forward.message).flow_id += load;
    return forward;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentHuntingTest);

}  // namespace
}  // namespace skylarkshunt
