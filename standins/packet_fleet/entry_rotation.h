#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_ENTRY_ROTATION_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_ENTRY_ROTATION_H_

#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "skylarkshunt/base/endpoint.h"

namespace skylarkshunt {

/// Takes entries into and out of rotation as the platform's routers do: each
/// one is asked for its readiness twice per second, and two misses take it out.
/// If fewer than half are in rotation, all are used.
class EntryRotation {
 public:
  struct Entry {
    Endpoint readiness;
    Endpoint data;
  };
  /// Called on threads of this object with each new rotation, one at a time.
  using OnChange = std::function<void(std::vector<Endpoint>)>;

  /// Precondition: what `on_change` uses outlives this object.
  EntryRotation(std::vector<Entry> entries, OnChange on_change);
  ~EntryRotation();
  EntryRotation(const EntryRotation&) = delete;
  EntryRotation& operator=(const EntryRotation&) = delete;

 private:
  void Follow(size_t index);
  void Publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::vector<Entry> entries_;
  const OnChange on_change_;
  absl::Mutex mutex_;
  std::vector<bool> ready_ ABSL_GUARDED_BY(mutex_);
  absl::Notification stop_;
  std::vector<std::thread> threads_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_ENTRY_ROTATION_H_
