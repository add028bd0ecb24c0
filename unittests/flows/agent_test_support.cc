#include "flows/agent_test_support.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace skylarkshunt {
namespace {

constexpr Incarnation kTestIncarnation{1'000};
constexpr Revision kTestRevision{5};

template <typename T>
T Only(const AgentActions& actions) {
  std::vector<T> selected = Select<T>(actions);
  CPPUNIT_ASSERT_EQUAL(size_t{1}, selected.size());
  return selected.front();
}

}  // namespace

ServiceConfig TestConfig() {
  ServiceConfig config;
  config.uid = kTestService;
  config.name = kTestServiceName;
  config.slots = 2;
  config.connections = 8;
  config.kinds = {{kReport, 10, false, absl::Milliseconds(50)},
                  {kPull, 1, true, absl::Milliseconds(50)},
                  {kArchive, 1, true, absl::Seconds(2)}};
  return config;
}

Candidate TestCandidate(size_t index) {
  const auto number = static_cast<uint16_t>(index + 1);
  return Candidate{InstanceUid{number}, kTestIncarnation,
                   Endpoint{0x7f000001, number}};
}

TestAgent::TestAgent(size_t index,
                     AgentLimits limits,
                     AgentPolicy policy,
                     const ServiceConfig& config)
    : index_(index) {
  AgentCore::Options options;
  options.uid = TestCandidate(index).uid;
  options.incarnation = kTestIncarnation;
  options.service = kTestService;
  options.policy = policy;
  core_ = std::move(CreateAgentCore(options, limits).value());
  core_->OnConfig(now_, kTestRevision, config);
}

AgentActions TestAgent::Advance(absl::Duration time) {
  AgentActions all;
  const absl::Time end = now_ + time;
  while (now_ < end) {
    now_ = std::min(now_ + absl::Seconds(1), end);
    for (AgentAction& action : core_->OnTick(now_))
      all.push_back(std::move(action));
  }
  return all;
}

AgentActions TestAgent::Pause(absl::Duration time) {
  now_ += time;
  return core_->OnTick(now_);
}

Forward TestAgent::Wrap(CallerMessage message, size_t candidates) const {
  Forward forward;
  forward.sender = Incarnation{9};
  forward.service = kTestService;
  forward.revision = kTestRevision;
  forward.caller = Endpoint{0x7f000002, 100};
  forward.entry = Endpoint{0x7f000002, 200};
  for (size_t i = 0; i < candidates; ++i)
    forward.candidates.push_back(TestCandidate(i));
  forward.position = static_cast<uint8_t>(index_);
  forward.message = std::move(message);
  return forward;
}

AgentActions TestAgent::Send(const Request& request, size_t candidates) {
  return Send(Wrap(request, candidates));
}

Binding TestAgent::Bind(uint64_t flow) {
  Request request = MakeRequest(flow, kReport);
  request.flow_id = flow;
  return Expect(Send(request), Outcome::kBind, Reason::kNone).binding.value();
}

RunId TestAgent::Start(const Request& request, size_t candidates) {
  return OnlyStart(Send(request, candidates)).run;
}

AgentActions TestAgent::End(RunId run,
                            absl::string_view body,
                            uint16_t status) {
  RunResult result;
  result.status = status;
  result.body = std::string(body);
  return core_->OnRunEnded(now_, run, result);
}

AgentActions TestAgent::End(RunId run, RunResult::Kind kind) {
  RunResult result;
  result.kind = kind;
  return core_->OnRunEnded(now_, run, result);
}

Request MakeRequest(uint64_t id,
                    absl::string_view kind,
                    absl::optional<Binding> binding) {
  Request request;
  request.service = kTestServiceName;
  request.kind = std::string(kind);
  request.flow_id = 1;
  request.request_id = RequestId{0, id};
  request.opening = !binding.has_value();
  request.deadline_ms = 8'000;
  request.binding = binding;
  return request;
}

Answer OnlyAnswer(const AgentActions& actions) {
  return Only<SendReply>(actions).reply.answer;
}

StartRun OnlyStart(const AgentActions& actions) {
  return Only<StartRun>(actions);
}

SendForward OnlyForward(const AgentActions& actions) {
  return Only<SendForward>(actions);
}

Answer Expect(const AgentActions& actions, Outcome outcome, Reason reason) {
  CPPUNIT_ASSERT(Select<StartRun>(actions).empty());
  Answer answer = OnlyAnswer(actions);
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(outcome),
                       static_cast<int>(answer.outcome));
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(reason),
                       static_cast<int>(answer.reason));
  return answer;
}

}  // namespace skylarkshunt
