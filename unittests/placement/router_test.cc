#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include <set>

#include "placement_fixtures.h"
#include "skylarkshunt/placement/router.h"

namespace skylarkshunt {
namespace {

constexpr ServiceUid kService{7};
const Endpoint kCaller{0x7f000001, 5555};
const absl::Time kStart = absl::FromUnixSeconds(1000);

Request MakeRequest(const std::string& kind) {
  Request request;
  request.service = "s";
  request.kind = kind;
  request.flow_id = 42;
  request.request_id = {1, 2};
  request.deadline_ms = 1000;
  return request;
}

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(BoundRequestGoesToItsTarget);
  CPPUNIT_TEST(NonIdempotentNeverLeavesItsTarget);
  CPPUNIT_TEST(IdempotentRequestLeavesUnresponsiveOrDownTarget);
  CPPUNIT_TEST(NonIdempotentRequestToUnknownTargetIsDropped);
  CPPUNIT_TEST(EntryWithoutSnapshotDropsRequests);
  CPPUNIT_TEST(UnknownServiceIsRefusedInTwoSteps);
  CPPUNIT_TEST(ServiceWithoutTargetsIsRefused);
  CPPUNIT_TEST(RetransmissionsStartAtOtherCandidates);
  CPPUNIT_TEST(FreshLoadOrdersTheFirstTwo);
  CPPUNIT_TEST(OpeningRequestNeverGoesToARemovedTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    records_ = AgentRecords(kService, 7);
    UseRecords();
  }

  void BoundRequestGoesToItsTarget() {
    for (const InstanceRecord& record : records_) {
      const RouteResult result = Route(Bound("file", record.uid));
      CPPUNIT_ASSERT(result.decision.kind == RouteKind::kBound);
      const auto& sent = std::get<RouteToAgent>(result.action);
      CPPUNIT_ASSERT(sent.agent == record.data);
      CPPUNIT_ASSERT(sent.forward.candidates[0].uid == record.uid);
      CPPUNIT_ASSERT(sent.forward.candidates.size() > 1);
    }
  }

  // Guards promise P5: a non-idempotent request that moves could run twice.
  void NonIdempotentNeverLeavesItsTarget() {
    records_[3].state = InstanceState::kDown;
    UseRecords();
    for (uint32_t attempt = 1; attempt < 20; ++attempt) {
      Request request = Bound("file", records_[3].uid);
      request.attempt = attempt;
      const RouteResult result = Route(request);
      CPPUNIT_ASSERT(std::get<RouteToAgent>(result.action).agent ==
                     records_[3].data);
    }
  }

  // Guards against candidate lists that still name the target: agents would
  // forward the request back to it. The table of the previous generation can
  // still contain the target.
  void IdempotentRequestLeavesUnresponsiveOrDownTarget() {
    Request request = Bound("read", records_[3].uid);
    request.attempt = 4;
    for (uint64_t flow = 1; flow <= 50; ++flow) {
      request.flow_id = flow;
      const RouteResult unresponsive = Route(request);
      CPPUNIT_ASSERT(unresponsive.decision.kind == RouteKind::kMoved);
      CPPUNIT_ASSERT(!HasCandidate(unresponsive, records_[3].uid));
    }
    records_[3].state = InstanceState::kDown;
    UseRecords();
    request.attempt = 1;
    const RouteResult result = Route(request);
    CPPUNIT_ASSERT(result.decision.kind == RouteKind::kMoved);
    CPPUNIT_ASSERT(std::get<RouteToAgent>(result.action).agent !=
                   records_[3].data);
    for (uint64_t flow = 1; flow <= 50; ++flow) {
      request.flow_id = flow;
      CPPUNIT_ASSERT(!HasCandidate(Route(request), records_[3].uid));
    }
  }

  // Guards promise P4: this entry cannot know whether the non-idempotent
  // request ran.
  void NonIdempotentRequestToUnknownTargetIsDropped() {
    const RouteResult file = Route(Bound("file", InstanceUid{99}));
    CPPUNIT_ASSERT(std::holds_alternative<RouteNowhere>(file.action));
    const RouteResult read = Route(Bound("read", InstanceUid{99}));
    CPPUNIT_ASSERT(read.decision.kind == RouteKind::kUnknownBound);
  }

  // Guards against a restarted entry that refuses requests which other entries
  // can route.
  void EntryWithoutSnapshotDropsRequests() {
    auto fresh = MakeRouter();
    Request request = MakeRequest("read");
    request.opening = true;
    const RouteResult result = fresh->OnCallerMessage(kStart, kCaller, request);
    CPPUNIT_ASSERT(std::holds_alternative<RouteNowhere>(result.action));
  }

  // Guards promise P4: a retransmission of the refused request may be bound at
  // another entry, so the refusal is final only under a refusal binding.
  void UnknownServiceIsRefusedInTwoSteps() {
    Request request = MakeRequest("read");
    request.service = "nowhere";
    const RouteResult unbound = Route(request);
    const auto& answer = std::get<RouteToCaller>(unbound.action).answer;
    CPPUNIT_ASSERT(answer.outcome == Outcome::kBind);
    CPPUNIT_ASSERT(answer.reason == Reason::kUnknownService);
    CPPUNIT_ASSERT(IsRefusalBinding(*answer.binding));
    request.binding = answer.binding;
    const RouteResult second = Route(request);
    CPPUNIT_ASSERT(std::get<RouteToCaller>(second.action).answer.outcome ==
                   Outcome::kNotRun);
    request.binding = Binding{records_[0].uid, Incarnation{1}, 1};
    CPPUNIT_ASSERT(std::holds_alternative<RouteNowhere>(Route(request).action));
  }

  void ServiceWithoutTargetsIsRefused() {
    for (InstanceRecord& record : records_)
      record.state = InstanceState::kDown;
    UseRecords();
    const auto read = Route(MakeRequest("read"));
    CPPUNIT_ASSERT(std::get<RouteToCaller>(read.action).answer.outcome ==
                   Outcome::kRefused);
    const auto file = Route(MakeRequest("file"));
    CPPUNIT_ASSERT(
        IsRefusalBinding(*std::get<RouteToCaller>(file.action).answer.binding));
  }

  void RetransmissionsStartAtOtherCandidates() {
    std::set<InstanceUid> receivers;
    for (uint32_t attempt = 1; attempt <= 4; ++attempt) {
      Request request = MakeRequest("read");
      request.opening = true;
      request.attempt = attempt;
      receivers.insert(Route(request).decision.target);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, receivers.size());
  }

  // Guards against an opening request that busy agents forward to a removed
  // target, where it is lost.
  void OpeningRequestNeverGoesToARemovedTarget() {
    const ConfigRecord config = ServiceRecord("s", kService, 1);
    auto before = RoutingSnapshot::Build("r1", records_, {config}, nullptr);
    records_[3].state = InstanceState::kDown;
    router_->UseSnapshot(
        RoutingSnapshot::Build("r1", records_, {config}, before));
    for (uint64_t flow = 0; flow < 500; ++flow) {
      Request request = MakeRequest("read");
      request.flow_id = flow;
      request.opening = true;
      const RouteResult result = Route(request);
      for (const Candidate& candidate :
           std::get<RouteToAgent>(result.action).forward.candidates) {
        CPPUNIT_ASSERT(candidate.uid != records_[3].uid);
      }
    }
  }

  void FreshLoadOrdersTheFirstTwo() {
    Request request = MakeRequest("read");
    request.opening = true;
    const CandidateList list =
        std::get<RouteToAgent>(Route(request).action).forward.candidates;
    Report(list[0].uid, 1000);
    Report(list[1].uid, 200);
    CPPUNIT_ASSERT(Route(request).decision.target == list[1].uid);
    const absl::Time later = kStart + absl::Milliseconds(251);
    const RouteResult stale = router_->OnCallerMessage(later, kCaller, request);
    CPPUNIT_ASSERT(stale.decision.target == list[0].uid);
  }

 private:
  static bool HasCandidate(const RouteResult& result, InstanceUid target) {
    const Forward& forward = std::get<RouteToAgent>(result.action).forward;
    return std::any_of(forward.candidates.begin(), forward.candidates.end(),
                       [&](const Candidate& c) { return c.uid == target; });
  }

  std::unique_ptr<Router> MakeRouter() {
    Router::Options options;
    options.entry = Endpoint{0x7f000002, 7000};
    options.incarnation = Incarnation{1};
    return Router::Create(options).value();
  }

  void UseRecords() {
    router_ = MakeRouter();
    const ConfigRecord config = ServiceRecord("s", kService, 1);
    router_->UseSnapshot(
        RoutingSnapshot::Build("r1", records_, {config}, nullptr));
  }

  RouteResult Route(const Request& request) {
    return router_->OnCallerMessage(kStart, kCaller, request);
  }

  static Request Bound(const std::string& kind, InstanceUid uid) {
    Request request = MakeRequest(kind);
    request.binding = Binding{uid, Incarnation{1}, 1};
    return request;
  }

  void Report(InstanceUid uid, uint16_t load) {
    Reply reply;
    reply.sender_uid = uid;
    reply.load = load;
    router_->OnReply(kStart, reply);
  }

  std::vector<InstanceRecord> records_;
  std::unique_ptr<Router> router_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace
}  // namespace skylarkshunt
