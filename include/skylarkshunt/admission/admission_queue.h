#ifndef SKYLARKSHUNT_ADMISSION_ADMISSION_QUEUE_H_
#define SKYLARKSHUNT_ADMISSION_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/admission/duration_model.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// A request that waits for a slot.
struct WaitingRequest {
  RequestId id;
  std::string kind;
  /// Worth of the completed request relative to other kinds.
  uint32_t weight = 1;
  absl::Time arrived;
  absl::Time deadline;
};

/// The slots of a target and the bounded queue before them. Orders requests by
/// learned duration with ageing, keeps slots free of stragglers, refuses early
/// what would miss its deadline, and sheds the least worth when full. Not
/// thread-safe.
class AdmissionQueue {
 public:
  enum class Verdict { kQueued, kMissesDeadline, kFull };

  struct Admission {
    Verdict verdict = Verdict::kQueued;
    /// A queued request that was removed in favour of the new one.
    absl::optional<RequestId> displaced;
  };

  /// `model` must outlive the queue. `first_come_first_served` ignores kinds
  /// and learned durations, as a baseline.
  AdmissionQueue(const DurationModel& model, bool first_come_first_served);

  /// Sets the number of slots, at least 1. Running requests keep their slot.
  void SetSlots(size_t slots);

  /// Decides about a new request. Call Next() afterwards.
  Admission Offer(absl::Time now, WaitingRequest request);

  /// Moves the first request that may start to a slot and returns its id.
  absl::optional<RequestId> Next(absl::Time now);

  /// Frees the slot of `id`. Unknown ids are ignored.
  void OnRunEnded(const RequestId& id);

  /// Removes and returns the queued requests whose deadline has passed.
  std::vector<RequestId> TakeExpired(absl::Time now);

  /// Removes and returns all queued requests.
  std::vector<RequestId> TakeAll();

  /// Whether a request of `kind` would start at once.
  bool HasFreeSlot(absl::string_view kind) const;

  /// Returns when a request of `kind` that arrives now is expected to start.
  absl::Time ExpectedStart(absl::Time now, absl::string_view kind) const;

  size_t slots() const { return slots_; }
  size_t running() const { return running_.size(); }
  size_t queued() const { return waiting_.size(); }
  /// Most requests that wait.
  size_t capacity() const;

 private:
  struct Running {
    std::string kind;
    absl::Time started;
  };

  bool MissesDeadline(absl::Time now, const WaitingRequest& request);
  size_t StragglerSlots() const;
  bool ShortRequestWaits() const;
  size_t RunningStragglers() const;
  absl::Duration WorkAhead(absl::Time now,
                           absl::string_view kind,
                           bool stragglers_only) const;
  double Order(absl::Time arrived, absl::string_view kind) const;
  double Worth(const WaitingRequest& request) const;
  size_t LeastWorth() const;

  const DurationModel& model_;
  const bool first_come_first_served_;
  size_t slots_ = 1;
  uint64_t refusals_with_free_slot_ = 0;
  // At most capacity() and a few dozen, so scans are cheap.
  std::vector<WaitingRequest> waiting_;
  absl::flat_hash_map<RequestId, Running> running_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ADMISSION_ADMISSION_QUEUE_H_
