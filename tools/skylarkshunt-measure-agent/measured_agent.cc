#include "measured_agent.h"

#include <string>
#include <utility>

namespace skylarkshunt {
namespace {

constexpr ServiceUid kService{77};
constexpr InstanceUid kAgent{1};
constexpr Incarnation kIncarnation{1'000};
constexpr Revision kRevision{5};
constexpr uint32_t kDeadlineMs = 300'000;
constexpr uint16_t kOkStatus = 200;

ServiceConfig MakeConfig(const MeasuredAgent::Options& options) {
  ServiceConfig config;
  config.uid = kService;
  config.name = "dispatch";
  config.slots = options.slots;
  config.connections = options.connections;
  config.deadline = absl::Milliseconds(kDeadlineMs);
  // Short runs, so that no queued request is refused for its deadline.
  config.kinds = {{kReport, 1, false, absl::Milliseconds(1)},
                  {kPull, 1, true, absl::Milliseconds(1)}};
  return config;
}

}  // namespace

Result<std::unique_ptr<MeasuredAgent>> MeasuredAgent::Create(
    const Options& options) {
  AgentCore::Options core_options;
  core_options.uid = kAgent;
  core_options.incarnation = kIncarnation;
  core_options.service = kService;
  core_options.random_seed = options.seed;
  auto core = AgentCore::Create(core_options);
  if (!core)
    return core.error();
  return std::unique_ptr<MeasuredAgent>(
      new MeasuredAgent(options, std::move(core).value()));
}

MeasuredAgent::MeasuredAgent(const Options& options,
                             std::unique_ptr<AgentCore> core)
    : core_(std::move(core)) {
  core_->OnConfig(now_, kRevision, MakeConfig(options));
  Request request;
  request.service = "dispatch";
  request.deadline_ms = kDeadlineMs;
  request.body = std::string(options.body_bytes, 'x');
  request_ = WrapMessage(std::move(request));
}

AgentActions MeasuredAgent::Send(absl::string_view kind,
                                 uint64_t id,
                                 const absl::optional<Binding>& binding) {
  auto& request = std::get<Request>(request_.message);
  request.kind.assign(kind.data(), kind.size());
  request.flow_id = id;
  request.request_id = RequestId{0, id};
  request.opening = !binding.has_value();
  request.binding = binding;
  return core_->OnForward(NextTime(), request_);
}

bool MeasuredAgent::EndRun(const AgentActions& actions, size_t bytes) {
  for (const AgentAction& action : actions) {
    const auto* start = std::get_if<StartRun>(&action);
    if (start == nullptr)
      continue;
    RunResult result;
    result.status = kOkStatus;
    result.body = std::string(bytes, 'y');
    core_->OnRunEnded(NextTime(), start->run, result);
    return true;
  }
  return false;
}

void MeasuredAgent::SendDone(uint64_t id) {
  Done done;
  done.service = "dispatch";
  done.flow_id = id;
  done.request_id = RequestId{0, id};
  core_->OnForward(NextTime(), WrapMessage(std::move(done)));
}

absl::Time MeasuredAgent::NextTime() {
  now_ += absl::Microseconds(1);
  return now_;
}

Forward MeasuredAgent::WrapMessage(CallerMessage message) const {
  Forward forward;
  forward.sender = Incarnation{9};
  forward.service = kService;
  forward.revision = kRevision;
  forward.caller = Endpoint{0x7f000002, 100};
  forward.entry = Endpoint{0x7f000002, 200};
  forward.candidates.push_back(
      Candidate{kAgent, kIncarnation, Endpoint{0x7f000001, 1}});
  forward.message = std::move(message);
  return forward;
}

absl::optional<Binding> BindingIn(const AgentActions& actions) {
  for (const AgentAction& action : actions) {
    if (const auto* reply = std::get_if<SendReply>(&action))
      return reply->reply.answer.binding;
  }
  return absl::nullopt;
}

}  // namespace skylarkshunt
