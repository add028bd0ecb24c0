#include "health_loop.h"

#include <utility>

#include "target_call.h"

namespace skylarkshunt {

HealthLoop::HealthLoop(Endpoint target, std::function<void()> on_hint)
    : target_(target), hints_(1, std::move(on_hint)), stop_(1) {}

HealthLoop::~HealthLoop() {
  if (!thread_.joinable())
    return;
  stop_.PushReplacingOldest(true);
  thread_.join();
}

void HealthLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void HealthLoop::Run() {
  do {
    hints_.PushReplacingOldest(IsTargetHealthy(target_));
  } while (!stop_.Pop(kHealthInterval).has_value());
}

}  // namespace skylarkshunt
