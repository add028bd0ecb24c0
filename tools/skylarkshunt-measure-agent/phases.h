#ifndef SKYLARKSHUNT_TOOLS_MEASURE_AGENT_PHASES_H_
#define SKYLARKSHUNT_TOOLS_MEASURE_AGENT_PHASES_H_

#include <cstddef>
#include <cstdint>

#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Sizes of one repeat.
struct PhaseSizes {
  /// Flows, and requests that are sent once each.
  size_t requests = 1000;
  /// Slots of the agent whose queue is filled with 4 requests per slot.
  uint16_t slots = 256;
  size_t body_bytes = 200;
  size_t answer_bytes = 1000;
  uint64_t seed = 1;
};

/// Bytes are live bytes per item, as the allocator rounds them; times are
/// nanoseconds per request, with the freeing of the actions.
struct FlowCosts {
  double flow_bytes = 0;
  double opening_ns = 0;
};
/// Costs of requests whose answers have been dropped.
struct RequestCosts {
  /// Ledger entry and id of the dropped answer together.
  double remembered_bytes = 0;
  /// Request, end of its run, and Done.
  double bound_ns = 0;
  /// A copy of a request that has run and whose answer is dropped.
  double repeat_ns = 0;
};
struct QueueCosts {
  size_t queued = 0;
  double queued_bytes = 0;
};
struct AnswerCosts {
  size_t retained = 0;
  double retained_bytes = 0;
};

/// Opens one flow per request. Errors: kInvalidArgument when a bound of the
/// agent was met, so that the figures would be of something else.
Result<FlowCosts> MeasureFlows(const PhaseSizes& sizes);
/// Runs one request per flow, non-idempotent and bound or idempotent. Errors as
/// MeasureFlows().
Result<RequestCosts> MeasureRequests(const PhaseSizes& sizes, bool idempotent);
/// Fills the queue while every slot is taken. Errors as MeasureFlows().
Result<QueueCosts> MeasureQueue(const PhaseSizes& sizes);
/// Runs idempotent requests without a Done; stops at the bound of retained
/// answers. Errors as MeasureFlows().
Result<AnswerCosts> MeasureAnswers(const PhaseSizes& sizes);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_MEASURE_AGENT_PHASES_H_
