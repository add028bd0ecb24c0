#include "standins/flow_simulation/simulated_process.h"

#include <algorithm>
#include <utility>

namespace skylarkshunt {
namespace {

/// Time between two rounds without a datagram.
constexpr absl::Duration kTickInterval = absl::Milliseconds(5);
constexpr absl::Duration kSweepInterval = absl::Seconds(1);
/// Gap between two rounds after which a node drops what waits in its sockets,
/// as NodeLoop does.
constexpr absl::Duration kSuspendedGap = absl::Seconds(2);
constexpr absl::Duration kReadinessTimeout = absl::Milliseconds(400);

}  // namespace

SimulatedProcess::SimulatedProcess(SimulationContext& context,
                                   Actor actor,
                                   std::array<Input, 3> order)
    : context_(context), actor_(actor), order_(order) {}

bool SimulatedProcess::IsAnswering() const {
  return running_ && stalled_until_ - context_.events.now() < kReadinessTimeout;
}

void SimulatedProcess::Start() {
  if (running_)
    return;
  running_ = true;
  leaving_ = false;
  ++starts_;
  started_ = context_.events.now();
  last_round_ = started_;
  next_sweep_ = started_;
  stalled_until_ = absl::InfinitePast();
  context_.Log("start", actor_);
  OnStart();
  ScheduleTick();
}

void SimulatedProcess::Kill() {
  if (running_)
    End();
}

void SimulatedProcess::End() {
  running_ = false;
  ++starts_;
  context_.Log("end", actor_);
  for (auto& waiting : waiting_)
    waiting.clear();
  if (restart_delay_ == absl::InfiniteDuration())
    return;
  context_.events.After(std::exchange(restart_delay_, absl::InfiniteDuration()),
                        [this] { Start(); });
}

void SimulatedProcess::Terminate() {
  Receive(Input::kCommand, [this] {
    if (leaving_)
      return;
    leaving_ = true;
    leaving_since_ = context_.events.now();
    OnTerminate();
  });
}

void SimulatedProcess::Stall(absl::Duration time) {
  if (!running_)
    return;
  stalled_until_ = std::max(stalled_until_, context_.events.now() + time);
  AfterWhileRunning(time, [this] {
    if (context_.events.now() >= stalled_until_)
      Round();
  });
}

void SimulatedProcess::Receive(Input input, std::function<void()> handle) {
  if (!running_)
    return;
  if (context_.events.now() < stalled_until_) {
    waiting_[static_cast<size_t>(input)].push_back(std::move(handle));
    return;
  }
  BeginRound();
  handle();
}

void SimulatedProcess::AfterWhileRunning(absl::Duration delay,
                                         std::function<void()> handle) {
  context_.events.After(delay,
                        [this, start = starts_, handle = std::move(handle)] {
                          if (start == starts_)
                            handle();
                        });
}

void SimulatedProcess::ScheduleTick() {
  AfterWhileRunning(kTickInterval, [this] {
    if (context_.events.now() >= stalled_until_)
      Round();
    if (running_)
      ScheduleTick();
  });
}

void SimulatedProcess::BeginRound() {
  socket_delay_ = context_.events.now() - last_round_;
  last_round_ = context_.events.now();
}

void SimulatedProcess::Round() {
  BeginRound();
  const absl::Time now = context_.events.now();
  const bool suspended = socket_delay_ > kSuspendedGap;
  for (const Input input : order_) {
    std::vector<std::function<void()>> inputs;
    inputs.swap(waiting_[static_cast<size_t>(input)]);
    if (suspended && input != Input::kCommand)
      continue;
    for (const std::function<void()>& handle : inputs)
      handle();
  }
  OnTick();
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    OnSweep();
  }
  if (leaving_ && IsEndComplete(now - leaving_since_))
    End();
}

}  // namespace skylarkshunt
