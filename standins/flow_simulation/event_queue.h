#ifndef SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_EVENT_QUEUE_H_
#define SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_EVENT_QUEUE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Simulated clock with the events that are due. Events of the same time run in
/// the order in which they were added. Not thread-safe.
class EventQueue {
 public:
  explicit EventQueue(absl::Time start) : now_(start) {}

  absl::Time now() const { return now_; }

  void After(absl::Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }
  /// Precondition: `time` is not before now().
  void At(absl::Time time, std::function<void()> run) {
    events_.push_back({time, next_number_++, std::move(run)});
    std::push_heap(events_.begin(), events_.end(), IsLater());
  }
  /// Runs the events up to and including `end`, which becomes the time.
  void RunUntil(absl::Time end) {
    while (!events_.empty() && events_.front().time <= end) {
      std::pop_heap(events_.begin(), events_.end(), IsLater());
      const Event event = std::move(events_.back());
      events_.pop_back();
      now_ = event.time;
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    absl::Time time;
    uint64_t number = 0;
    std::function<void()> run;
  };

  struct IsLater {
    bool operator()(const Event& a, const Event& b) const {
      return a.time != b.time ? a.time > b.time : a.number > b.number;
    }
  };

  absl::Time now_;
  uint64_t next_number_ = 0;
  std::vector<Event> events_;
};

/// Seeded random source. The distributions are written out because those of the
/// standard library differ between implementations. Not thread-safe.
class SimulatedRandom {
 public:
  explicit SimulatedRandom(uint64_t seed) : generator_(seed) {}

  uint32_t Number() { return static_cast<uint32_t>(generator_() >> 32U); }
  /// Precondition: `size` is not 0.
  size_t Index(size_t size) { return generator_() % size; }
  bool Chance(double share) { return Unit() < share; }
  double Between(double low, double high) {
    return low + (high - low) * Unit();
  }
  absl::Duration Between(absl::Duration low, absl::Duration high) {
    return low + (high - low) * Unit();
  }
  absl::Duration Exponential(absl::Duration mean) {
    return -std::log(1.0 - Unit()) * mean;
  }
  /// Lognormal with the given mean.
  absl::Duration Work(absl::Duration mean, double spread) {
    const double normal =
        std::sqrt(-2.0 * std::log(1.0 - Unit())) * std::cos(2 * M_PI * Unit());
    return mean * std::exp(spread * normal - spread * spread / 2);
  }

 private:
  double Unit() { return static_cast<double>(generator_() >> 11U) * 0x1.0p-53; }

  std::mt19937_64 generator_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_FLOW_SIMULATION_EVENT_QUEUE_H_
