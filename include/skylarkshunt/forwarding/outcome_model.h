#ifndef SKYLARKSHUNT_FORWARDING_OUTCOME_MODEL_H_
#define SKYLARKSHUNT_FORWARDING_OUTCOME_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"

namespace skylarkshunt {

/// Estimates the share of requests that a target fails from the packets that
/// its agent sees: resets, requests without an answer, and answers much shorter
/// than usual for the address. Does not read the contents. Where answers differ
/// in size, all targets of the service show a similar share. Shares are
/// therefore meaningful only in comparison with other targets. Not thread-safe.
class OutcomeModel {
 public:
  /// Records an answer to a request for `address` that ended after `bytes` of
  /// payload.
  void RecordAnswer(Endpoint address, uint32_t bytes, absl::Time now);
  /// Records a request that was reset or timed out.
  void RecordFailure(absl::Time now);

  /// Discards the outcomes, for a target that restarted. Keeps the usual sizes.
  void Reset();

  /// Returns the share of recent requests that failed, in thousandths. It
  /// decays while there are no requests, so that a target that failed gets
  /// requests again.
  uint16_t failing_permille(absl::Time now) const;

 private:
  /// Sizes of the last answers for one address.
  struct Sizes {
    std::array<uint32_t, 64> bytes{};
    size_t count = 0;
    size_t next = 0;
    /// Number of short answers so far; see kShortAnswersPerUsual.
    uint32_t short_answers = 0;
  };

  static bool IsShort(const Sizes& sizes, uint32_t bytes);
  static void Learn(Sizes& sizes, uint32_t bytes);
  void Record(double failed, absl::Time now);
  double RecentShare(absl::Time now) const;

  double recent_share_ = 0;
  uint32_t samples_ = 0;
  absl::Time sampled_;
  absl::flat_hash_map<Endpoint, Sizes> sizes_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OUTCOME_MODEL_H_
