#include "standins/packet_fleet/entry_rotation.h"

#include <utility>

#include "absl/time/time.h"
#include "skylarkshunt/http/http_client.h"

namespace skylarkshunt {
namespace {

constexpr absl::Duration kInterval = absl::Milliseconds(500);
constexpr absl::Duration kTimeout = absl::Milliseconds(400);
constexpr int kMissesUntilOut = 2;
constexpr int kOk = 200;

}  // namespace

EntryRotation::EntryRotation(std::vector<Entry> entries, OnChange on_change)
    : entries_(std::move(entries)),
      on_change_(std::move(on_change)),
      ready_(entries_.size(), false) {
  {
    absl::MutexLock lock(&mutex_);
    Publish();
  }
  for (size_t i = 0; i < entries_.size(); ++i)
    threads_.emplace_back([this, i] { Follow(i); });
}

EntryRotation::~EntryRotation() {
  stop_.Notify();
  for (std::thread& thread : threads_)
    thread.join();
}

void EntryRotation::Follow(size_t index) {
  int misses = kMissesUntilOut;
  // The platform does not ask all nodes at the same moment.
  absl::Duration wait =
      kInterval * index / static_cast<int64_t>(entries_.size());
  while (!stop_.WaitForNotificationWithTimeout(wait)) {
    wait = kInterval;
    HttpCall call;
    call.server = entries_[index].readiness;
    call.target = "/skylarkshunt/ready";
    call.timeout = kTimeout;
    const Result<HttpAnswer> answer = Call(call);
    const bool ready = answer.has_value() && answer.value().status == kOk;
    misses = ready ? 0 : misses + 1;
    absl::MutexLock lock(&mutex_);
    const bool in_rotation = misses < kMissesUntilOut;
    if (ready_[index] == in_rotation)
      continue;
    ready_[index] = in_rotation;
    Publish();
  }
}

void EntryRotation::Publish() {
  std::vector<Endpoint> all;
  std::vector<Endpoint> rotation;
  for (size_t i = 0; i < entries_.size(); ++i) {
    all.push_back(entries_[i].data);
    if (ready_[i])
      rotation.push_back(entries_[i].data);
  }
  on_change_(2 * rotation.size() < all.size() ? all : rotation);
}

}  // namespace skylarkshunt
