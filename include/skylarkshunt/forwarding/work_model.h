#ifndef SKYLARKSHUNT_FORWARDING_WORK_MODEL_H_
#define SKYLARKSHUNT_FORWARDING_WORK_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Predictions of the wait for a slot and what was observed, summed over the
/// requests that had to wait at the target.
struct WaitAccuracy {
  uint64_t waits = 0;
  absl::Duration predicted;
  absl::Duration observed;
  /// Sum of the absolute differences.
  absl::Duration error;
};

/// Learns the work of the requests of one target by route, and estimates the
/// work that the target still has to do.
///
/// A route's typical work is an average of logarithms. The distribution of the
/// ratio of a request's work to the typical work of its route is learned for
/// all routes together. It gives the expected rest of a request from the time
/// that it has run: a request that has run much longer than usual is probably a
/// long one. The target is assumed to start requests in the order of their
/// arrival, as many at once as it has slots. Pure and not thread-safe.
class WorkModel {
 public:
  /// Identifies a tracked request. 0 stands for one that is not tracked.
  using Token = uint64_t;

  /// Maximum number of routes with an estimate of their own. A further one
  /// replaces the least recently used one. Routes without an estimate use the
  /// average of the target.
  static constexpr size_t kMaxRoutes = 64;
  /// Maximum number of tracked requests. Further ones count with the average
  /// work.
  static constexpr size_t kMaxTracked = 64;
  /// Targets with more slots get no estimate. Their number of requests predicts
  /// the wait well, since single long requests hardly matter.
  static constexpr uint32_t kMaxSlots = 32;
  /// Maximum number of waiting opening packets whose routes are looked up.
  /// Further ones count with the average work.
  static constexpr size_t kMaxQueueRoutes = 32;

  /// Work of the queue in front of the target, in the order of its packets.
  class QueueWork {
   public:
    /// Adds a packet that is expected to take `us` at the target.
    void Add(double us) {
      if (work_us_.size() < kMaxQueueRoutes)
        work_us_.push_back(us);
      ++size_;
    }
    bool is_full() const { return work_us_.size() == kMaxQueueRoutes; }

   private:
    friend class WorkModel;
    absl::InlinedVector<double, kMaxQueueRoutes> work_us_;
    size_t size_ = 0;
  };

  /// Sets the number of requests that the target runs at once.
  void set_slots(uint32_t slots) { slots_ = slots; }

  /// Adds a request that is expected on a flow of `route`, or runs there if
  /// OnRequest() follows. Returns 0 if kMaxTracked requests are tracked.
  Token Begin(const Endpoint& route, absl::Time now);
  /// Records that the request has arrived at the target.
  void OnRequest(Token token, absl::Time now);
  /// Records the first packet of the answer and learns from it. The request
  /// remains tracked until End().
  void OnAnswer(Token token, absl::Time now);
  /// Removes a request that was answered, abandoned or reset. Ignores 0.
  void End(Token token);

  /// Discards what was learned, for a target that restarted.
  void Reset();

  /// Returns the expected work of a request of `route`, in microseconds; 0
  /// without an estimate.
  double ExpectedWorkUs(const Endpoint& route) const;

  /// Returns the expected time until the target could start one more request,
  /// in microseconds. `busy` is the number of requests at the target, tracked
  /// or not. Returns 0 without an estimate, and at least kPendingWorkUnitUs
  /// otherwise, also for a target with a free slot.
  uint32_t PendingUs(uint32_t busy,
                     const QueueWork& queue,
                     absl::Time now) const;

  const WaitAccuracy& accuracy() const { return accuracy_; }

 private:
  /// Number of bins of the ratio to the typical work, of half an octave each.
  static constexpr size_t kBins = 12;

  struct Bin {
    double count = 0;
    /// Sum of the ratios in the bin.
    double sum = 0;
  };
  struct Route {
    double log_us = 0;
    uint32_t samples = 0;
    uint64_t used = 0;
  };
  struct Request {
    Token token = 0;
    Endpoint route;
    /// Time of the opening packet, or of the request once it has arrived.
    absl::Time arrived;
    absl::Time started;
    bool requested = false;
    bool running = false;
    bool waited = false;
    absl::optional<absl::Duration> predicted_wait;
  };

  Request* Find(Token token);
  bool has_estimate() const;
  size_t running() const;
  /// Starts the oldest requests that wait at the target, as slots are free.
  void StartWaiting(absl::Time now);
  void Learn(const Endpoint& route, absl::Duration work, double weight);
  double TypicalUs(const Endpoint& route) const;
  /// Returns the expected rest of a request, as a multiple of the typical work,
  /// after `ratio` times the typical work.
  double ExpectedRest(double ratio) const;
  /// Returns the time until the target could start one more request behind
  /// those for which `counts` is true, `untracked` others and the queue.
  template <typename Predicate>
  double WaitUs(const Predicate& counts,
                size_t untracked,
                const QueueWork& queue,
                absl::Time now) const;

  uint32_t slots_ = 0;
  absl::flat_hash_map<Endpoint, Route> routes_;
  uint64_t uses_ = 0;
  /// Average over all routes, for those without an estimate.
  Route average_;
  /// The observed ratios, of which older ones count less.
  std::array<Bin, kBins> ratios_{};
  double mean_ratio_ = 1.0;
  /// In the order of their arrival. At most kMaxTracked.
  std::vector<Request> requests_;
  Token next_token_ = 1;
  absl::Time last_event_;
  WaitAccuracy accuracy_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_WORK_MODEL_H_
