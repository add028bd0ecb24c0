#ifndef SKYLARKSHUNT_ADMISSION_TARGET_HEALTH_H_
#define SKYLARKSHUNT_ADMISSION_TARGET_HEALTH_H_

#include <cstddef>
#include <deque>

#include "absl/time/time.h"

namespace skylarkshunt {

/// Judges the target by the results of its requests: ejects it when it fails,
/// lets single requests probe it after a back-off, and restores it after a
/// success. Not thread-safe.
class TargetHealth {
 public:
  enum class State {
    kHealthy,
    kEjected,  ///< Takes nothing until the back-off has passed.
    kProbing,  ///< Takes one request at a time.
  };

  /// Notes the result of a request at the target. Returns true when the state
  /// changed.
  bool OnResult(absl::Time now, bool succeeded);

  /// Ends the back-off when it has passed. Returns true when the state changed.
  bool OnTick(absl::Time now);

  /// Notes what the target's health end point says. It lags or misleads, so it
  /// neither ejects nor restores; a healthy hint only shortens a long back-off
  /// to the first one.
  void OnHint(absl::Time now, bool healthy);

  State state() const { return state_; }

 private:
  void Eject(absl::Time now);
  bool ShouldEject() const;

  State state_ = State::kHealthy;
  std::deque<bool> recent_failures_;
  size_t failed_of_recent_ = 0;
  size_t consecutive_failures_ = 0;
  absl::Duration back_off_ = absl::ZeroDuration();
  absl::Time probe_at_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ADMISSION_TARGET_HEALTH_H_
