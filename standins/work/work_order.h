#ifndef STANDINS_WORK_WORK_ORDER_H_
#define STANDINS_WORK_WORK_ORDER_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// What the caller stand-in asks of the target stand-in, as the body of a
/// request: "<request id, 32 hex digits> <answer bytes> <run time in us>".
struct WorkOrder {
  RequestId request_id;
  uint64_t answer_bytes = 0;
  absl::Duration run_time;
};

/// Largest answer of a work order, in bytes.
inline constexpr uint64_t kMaxAnswerBytes = uint64_t{16} << 20;
/// Longest run time of a work order.
inline constexpr absl::Duration kMaxRunTime = absl::Minutes(5);

/// Writes the body of a request. Thread-safe.
std::string WriteWorkOrder(const WorkOrder& order);

/// Reads the body of a request. Errors: kMalformedMessage. Thread-safe.
Result<WorkOrder> ParseWorkOrder(absl::string_view body);

/// Returns `bytes` bytes that only this request id yields, so that the caller
/// can tell its own answer from another's. Thread-safe.
std::string MakeAnswer(const RequestId& id, uint64_t bytes);

}  // namespace skylarkshunt

#endif  // STANDINS_WORK_WORK_ORDER_H_
