#ifndef SKYLARKSHUNT_EDGE_MESSAGES_H_
#define SKYLARKSHUNT_EDGE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// How a request ended, as told to the caller.
enum class Outcome : uint8_t {
  kOk = 0,  ///< Ran; the answer is complete or comes in chunks.
  /// Did not run and never will under this request id. Said only of requests
  /// for which that is proved: non-idempotent ones under a binding.
  kNotRun = 1,
  /// Did not run; repeat under the binding given. With a reason, that is a
  /// refusal binding for this request alone.
  kBind = 2,
  kOutcomeUnknown = 3,  ///< May or may not have run; do not repeat.
  kAnswerGone = 4,      ///< Ran; the answer is no longer held.
  kTargetError = 5,     ///< Ran and failed at the target.
  /// An idempotent request was not taken here. Another copy of it may have
  /// reached another target, so this is no proof that it did not run; it may be
  /// repeated.
  kRefused = 6,
  /// Queued or running; the answer follows. A caller that got it repeats rarely
  /// and counts attempts anew, so that a slow target does not look silent.
  kPending = 7,
};

/// Why a request was not answered with kOk.
enum class Reason : uint8_t {
  kNone = 0,
  kOverloaded = 1,
  kDeadline = 2,
  kDraining = 3,
  kRebind = 4,
  kFlowUnknown = 5,
  kUnknownService = 6,
  kUnknownKind = 7,
  kNoTarget = 8,
  kTargetUnreachable = 9,
  kWrongInstance = 10,
  kExpiredBinding = 11,
  kLeaseLapsed = 12,
  kLedgerFull = 13,
  kConnectionLost = 14,
  kShuttingDown = 15,
  kFlowLimit = 16,
};

/// Returns a stable name such as "not_run". Thread-safe.
absl::string_view OutcomeName(Outcome outcome);
/// Returns a stable name such as "overloaded". Thread-safe.
absl::string_view ReasonName(Reason reason);

/// A caller's request, one datagram. A repeat has the same fields but for
/// `attempt`, `deadline_ms` and, after a kBind answer, `binding`.
struct Request {
  std::string service;
  std::string kind;
  uint64_t flow_id = 0;
  RequestId request_id;
  /// True until the flow's first answer has arrived.
  bool opening = false;
  /// 1 for the first transmission and for the first after a kPending answer.
  uint32_t attempt = 1;
  /// Time left until the caller gives up, in milliseconds.
  uint32_t deadline_ms = 0;
  absl::optional<Binding> binding;
  /// At most kMaxRequestBodyBytes.
  std::string body;
};

/// Asks for chunks [first_chunk, first_chunk + chunk_count) of an answer.
struct Fetch {
  std::string service;
  uint64_t flow_id = 0;
  RequestId request_id;
  absl::optional<Binding> binding;
  uint32_t first_chunk = 0;
  uint32_t chunk_count = 0;
};

/// Says that the whole answer has arrived and need not be kept.
struct Done {
  std::string service;
  uint64_t flow_id = 0;
  RequestId request_id;
  absl::optional<Binding> binding;
};

/// Ends a flow.
struct Close {
  std::string service;
  uint64_t flow_id = 0;
  absl::optional<Binding> binding;
};

using CallerMessage = std::variant<Request, Fetch, Done, Close>;

/// One datagram to the caller: a refusal, or one chunk of an answer.
struct Answer {
  RequestId request_id;
  Outcome outcome = Outcome::kOk;
  Reason reason = Reason::kNone;
  /// HTTP status of the target, 0 where no target answered.
  uint16_t status = 0;
  /// The flow's binding from now on, where it is new or renewed (with kOk and
  /// kPending, and of use for later requests too); with kBind the
  /// one to repeat the request under, which may be a refusal binding.
  absl::optional<Binding> binding;
  /// When a repeat or a new request makes sense, in milliseconds; 0: any time.
  uint32_t retry_after_ms = 0;
  uint32_t chunk_index = 0;
  /// Number of chunks of the whole answer; 1 for a refusal.
  uint32_t chunk_count = 1;
  /// Bytes of the whole answer.
  uint64_t total_bytes = 0;
  std::string body;
};

/// Value of Binding::issued_ms in a refusal binding.
inline constexpr int64_t kRefusalIssuedMs = 0;

/// Whether `binding` allows nothing anywhere. An unbound non-idempotent request
/// is refused in two steps, because a plain "not run" could be false: another
/// copy may have been bound at another agent. The refuser answers kBind with a
/// refusal binding; the copy under it runs nowhere, so its refusal is true.
/// A caller never uses such a binding for another request. Thread-safe.
bool IsRefusalBinding(const Binding& binding);

/// Returns a refusal binding of the instance `uid`. Thread-safe.
Binding MakeRefusalBinding(InstanceUid uid, Incarnation incarnation);

/// Largest datagram between caller and entry, in bytes; it fits the smallest
/// common path MTU without fragments.
inline constexpr size_t kMaxCallerDatagramBytes = 1200;
/// Largest body of a request, in bytes.
inline constexpr size_t kMaxRequestBodyBytes = 900;
/// Bytes of an answer in one chunk.
inline constexpr size_t kChunkBytes = 1000;
/// Most chunks in one Fetch, and in the first burst of an answer.
inline constexpr uint32_t kMaxChunksPerFetch = 16;
/// Longest deadline a request may have, in milliseconds.
inline constexpr uint32_t kMaxDeadlineMs = 300'000;
/// Longest name of a service or kind, in bytes.
inline constexpr size_t kMaxNameBytes = 63;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_EDGE_MESSAGES_H_
