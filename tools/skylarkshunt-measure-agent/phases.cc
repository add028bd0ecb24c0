#include "phases.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "allocation_counter.h"
#include "measured_agent.h"

namespace skylarkshunt {
namespace {

using Clock = std::chrono::steady_clock;
using Bindings = std::vector<absl::optional<Binding>>;

/// Bytes of answers that an agent retains, and what each counts besides its
/// body (section 4.7 of the design page).
constexpr size_t kMaxAnswerBytes = size_t{16} * 1024 * 1024;
constexpr size_t kAnswerOverheadBytes = 256;
constexpr size_t kQueuedPerSlot = 4;

double PerItem(uint64_t before, size_t items) {
  const auto bytes = static_cast<double>(AllocatedBytes() - before);
  return bytes / static_cast<double>(items);
}

double NanosecondsPerItem(Clock::time_point start, size_t items) {
  const std::chrono::duration<double, std::nano> spent = Clock::now() - start;
  return spent.count() / static_cast<double>(items);
}

Error BoundMet(const char* what) {
  return MakeError(ErrorKind::kInvalidArgument, what,
                   "choose a smaller size, within the agent's bounds");
}

Result<std::unique_ptr<MeasuredAgent>> CreateAgent(const PhaseSizes& sizes,
                                                   uint16_t slots) {
  MeasuredAgent::Options options;
  options.connections = static_cast<uint32_t>(sizes.requests);
  options.slots = slots;
  options.body_bytes = sizes.body_bytes;
  options.seed = sizes.seed;
  return MeasuredAgent::Create(options);
}

/// Opens the flows 1 to `count` and returns the binding of each.
Bindings OpenFlows(MeasuredAgent& agent, size_t count) {
  Bindings bindings(count);
  for (size_t i = 0; i < count; ++i)
    bindings[i] = BindingIn(agent.Send(kReport, i + 1, absl::nullopt));
  return bindings;
}

bool RunAndDrop(MeasuredAgent& agent,
                const char* kind,
                const Bindings& bindings,
                size_t answer_bytes) {
  for (size_t i = 0; i < bindings.size(); ++i) {
    if (!agent.EndRun(agent.Send(kind, i + 1, bindings[i]), answer_bytes))
      return false;
    agent.SendDone(i + 1);
  }
  return true;
}

}  // namespace

Result<FlowCosts> MeasureFlows(const PhaseSizes& sizes) {
  auto agent = CreateAgent(sizes, 1);
  if (!agent)
    return agent.error();
  const uint64_t before = AllocatedBytes();
  const auto start = Clock::now();
  for (size_t i = 0; i < sizes.requests; ++i)
    agent.value()->Send(kReport, i + 1, absl::nullopt);
  FlowCosts costs;
  costs.opening_ns = NanosecondsPerItem(start, sizes.requests);
  costs.flow_bytes = PerItem(before, sizes.requests);
  if (agent.value()->Stats().flows != sizes.requests)
    return BoundMet("not every flow was accepted");
  return costs;
}

Result<RequestCosts> MeasureRequests(const PhaseSizes& sizes, bool idempotent) {
  auto agent = CreateAgent(sizes, 1);
  if (!agent)
    return agent.error();
  const Bindings bindings = OpenFlows(*agent.value(), sizes.requests);
  const char* kind = idempotent ? kPull : kReport;
  const uint64_t before = AllocatedBytes();
  const auto start = Clock::now();
  if (!RunAndDrop(*agent.value(), kind, bindings, sizes.answer_bytes))
    return BoundMet("not every request was run");
  RequestCosts costs;
  costs.bound_ns = NanosecondsPerItem(start, sizes.requests);
  costs.remembered_bytes = PerItem(before, sizes.requests);
  const auto repeat_start = Clock::now();
  for (size_t i = 0; i < sizes.requests; ++i)
    agent.value()->Send(kind, i + 1, bindings[i]);
  costs.repeat_ns = NanosecondsPerItem(repeat_start, sizes.requests);
  const AgentStats stats = agent.value()->Stats();
  if (stats.completed != sizes.requests || stats.repeats != sizes.requests)
    return BoundMet("not every copy was recognised");
  return costs;
}

Result<QueueCosts> MeasureQueue(const PhaseSizes& sizes) {
  const size_t queued = kQueuedPerSlot * sizes.slots;
  PhaseSizes flows = sizes;
  flows.requests = sizes.slots + queued;
  auto agent = CreateAgent(flows, sizes.slots);
  if (!agent)
    return agent.error();
  const Bindings bindings = OpenFlows(*agent.value(), flows.requests);
  for (size_t i = 0; i < sizes.slots; ++i)
    agent.value()->Send(kPull, i + 1, bindings[i]);
  const uint64_t before = AllocatedBytes();
  for (size_t i = sizes.slots; i < flows.requests; ++i)
    agent.value()->Send(kPull, i + 1, bindings[i]);
  const QueueCosts costs{queued, PerItem(before, queued)};
  if (agent.value()->Stats().queued != queued)
    return BoundMet("not every request was queued");
  return costs;
}

Result<AnswerCosts> MeasureAnswers(const PhaseSizes& sizes) {
  const size_t most =
      kMaxAnswerBytes / (sizes.answer_bytes + kAnswerOverheadBytes);
  PhaseSizes held = sizes;
  held.requests = std::min(sizes.requests, most);
  auto agent = CreateAgent(held, 1);
  if (!agent)
    return agent.error();
  const Bindings bindings = OpenFlows(*agent.value(), held.requests);
  const uint64_t before = AllocatedBytes();
  for (size_t i = 0; i < held.requests; ++i) {
    const AgentActions actions = agent.value()->Send(kPull, i + 1, bindings[i]);
    if (!agent.value()->EndRun(actions, sizes.answer_bytes))
      return BoundMet("not every request was run");
  }
  const AnswerCosts costs{held.requests, PerItem(before, held.requests)};
  const uint64_t counted =
      held.requests * (sizes.answer_bytes + kAnswerOverheadBytes);
  if (agent.value()->Stats().retained_answer_bytes != counted)
    return BoundMet("not every answer was retained");
  return costs;
}

}  // namespace skylarkshunt
