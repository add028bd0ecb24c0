#ifndef SKYLARKSHUNT_FORWARDING_OUTCOME_MODEL_H_
#define SKYLARKSHUNT_FORWARDING_OUTCOME_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"

namespace skylarkshunt {

/// Learns which share of its requests a target fails, from what its agent sees
/// of the packets: resets, requests without an answer, and answers much shorter
/// than the usual ones for the address. The contents are not read. Where
/// answers differ in size, all targets of the service show the same share, so
/// that shares mean something only in comparison. Not thread-safe.
class OutcomeModel {
 public:
  /// An answer to a request for `address` ended after `bytes` of payload.
  void RecordAnswer(Endpoint address, uint32_t bytes, absl::Time now);
  /// A request was reset, or has had no answer for too long.
  void RecordFailure(absl::Time now);

  /// Forgets the outcomes, for a target that started again. Usual sizes stay.
  void Reset();

  /// Share of recent requests that failed, in thousandths. It falls without
  /// requests, so that a target that failed is tried again.
  uint16_t failing_permille(absl::Time now) const;

 private:
  /// Sizes of the last answers for one address.
  struct Sizes {
    std::array<uint32_t, 64> bytes{};
    size_t count = 0;
    size_t next = 0;
    /// Short answers since one was last taken for a usual one.
    uint32_t short_ones = 0;
  };

  static bool IsShort(const Sizes& sizes, uint32_t bytes);
  static void Learn(Sizes& sizes, uint32_t bytes);
  void Record(double failed, absl::Time now);
  double Recent(absl::Time now) const;

  double recent_ = 0;
  uint32_t samples_ = 0;
  absl::Time sampled_;
  absl::flat_hash_map<Endpoint, Sizes> sizes_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OUTCOME_MODEL_H_
