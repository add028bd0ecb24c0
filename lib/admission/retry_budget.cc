#include "skylarkshunt/admission/retry_budget.h"

namespace skylarkshunt {

void RetryBudget::OnAccepted() {
  if (tenths_ < kBurstRetries * kTenthsPerRetry)
    ++tenths_;
}

bool RetryBudget::TryTake() {
  if (tenths_ < kTenthsPerRetry)
    return false;
  tenths_ -= kTenthsPerRetry;
  return true;
}

}  // namespace skylarkshunt
