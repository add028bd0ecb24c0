#include "target_prober.h"

#include <utility>

#include "skylarkshunt/http/http_client.h"
#include "skylarkshunt/net/poller.h"

namespace skylarkshunt {
namespace {

/// Timeout of a check. A running target answers within a few milliseconds, a
/// slow one takes five times as long.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
constexpr absl::Duration kPopWait = absl::Seconds(10);
constexpr int kOk = 200;

}  // namespace

TargetProber::TargetProber(Options options)
    : options_(std::move(options)), requests_(1), thread_([this] { Run(); }) {}

TargetProber::~TargetProber() {
  requests_.PushReplacingOldest(false);
  thread_.join();
}

void TargetProber::Probe() {
  // The ring is full only if a check is already requested.
  static_cast<void>(requests_.TryPush(true));
}

void TargetProber::Run() {
  while (true) {
    const absl::optional<bool> request = requests_.Pop(kPopWait);
    if (!request.has_value())
      continue;
    if (!*request)
      return;
    TargetProbe probe;
    probe.began = MonotonicNow();
    probe.outcome = Check();
    options_.on_outcome(probe);
  }
}

TargetProbe::Outcome TargetProber::Check() const {
  HttpCall call;
  call.server = options_.target;
  call.target = options_.health_path();
  if (call.target.empty())
    return TargetProbe::Outcome::kUnclear;
  call.timeout = kProbeTimeout;
  const Result<HttpAnswer> answer = Call(call);
  if (answer.has_value())
    return answer.value().status == kOk ? TargetProbe::Outcome::kHealthy
                                        : TargetProbe::Outcome::kUnclear;
  return answer.error().kind == ErrorKind::kRefused
             ? TargetProbe::Outcome::kRefused
             : TargetProbe::Outcome::kUnclear;
}

}  // namespace skylarkshunt
