#ifndef SKYLARKSHUNT_ADMISSION_RETRY_BUDGET_H_
#define SKYLARKSHUNT_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

namespace skylarkshunt {

/// Limits retries to a share of the accepted requests, so that a failing target
/// does not multiply its own load. Not thread-safe.
class RetryBudget {
 public:
  /// Counts one accepted request, which earns a tenth of a retry.
  void OnAccepted();

  /// Takes one retry. Returns false when none is left.
  bool TryTake();

 private:
  // Tenths of a retry, so that the arithmetic is exact.
  static constexpr uint32_t kTenthsPerRetry = 10;
  static constexpr uint32_t kBurstRetries = 10;

  uint32_t tenths_ = kBurstRetries * kTenthsPerRetry;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_ADMISSION_RETRY_BUDGET_H_
