#ifndef SKYLARKSHUNT_LIB_ENTRY_ROUTE_LOG_H_
#define SKYLARKSHUNT_LIB_ENTRY_ROUTE_LOG_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "absl/time/time.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/placement/router.h"

namespace skylarkshunt {

/// Most routing decisions logged in one second; more are only counted, so that
/// a flood of packets does not become a flood of log lines.
inline constexpr uint32_t kMaxRouteLogsPerSecond = 2000;

/// Logs and counts routing decisions. Record() belongs to the data thread,
/// SetRate() is thread-safe.
class RouteLog {
 public:
  RouteLog(CounterRegistry& counters, uint32_t established_rate);

  void Record(absl::Time now, const RouteDecision& decision);
  void SetRate(uint32_t established_rate) { rate_.store(established_rate); }

 private:
  static constexpr size_t kKinds = 7;
  static constexpr size_t kReasons = 17;

  bool Sampled(RouteKind kind);
  bool WithinLimit(absl::Time now);

  std::array<Counter*, kKinds> by_kind_{};
  std::array<Counter*, kReasons> refused_{};
  Counter& not_logged_;
  std::atomic<uint32_t> rate_;
  uint64_t established_ = 0;
  absl::Time second_;
  uint32_t logged_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_ENTRY_ROUTE_LOG_H_
