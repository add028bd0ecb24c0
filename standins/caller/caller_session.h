#ifndef STANDINS_CALLER_CALLER_SESSION_H_
#define STANDINS_CALLER_CALLER_SESSION_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/edge/messages.h"
#include "standins/caller/answer_assembler.h"

namespace skylarkshunt {

/// A request that the session is asked to make.
struct CallPlan {
  std::string kind;
  bool idempotent = false;
  /// At most kMaxDeadlineMs.
  absl::Duration deadline = absl::Seconds(10);
  /// Size of the answer asked of the target, at most kMaxAnswerBytes.
  uint64_t answer_bytes = 0;
  /// Run time asked of the target.
  absl::Duration run_time;
};

/// How a request ended for the caller.
enum class CallEnd {
  kOk,              ///< The whole answer to this request arrived.
  kWrongAnswer,     ///< A whole answer arrived that is not this request's.
  kNotRun,          ///< Refused; it has not run and never will.
  kOutcomeUnknown,  ///< Said so by the system, or non-idempotent at deadline.
  kTimedOut,        ///< Idempotent, and its deadline passed.
  kAnswerGone,      ///< Ran; the answer is no longer held.
  kTargetError,     ///< Ran and failed at the target.
  kRefused,         ///< Idempotent, and not taken kMaxRefusals times.
};
inline constexpr int kCallEnds = 8;
/// Refusals after which an idempotent request is given up.
inline constexpr int kMaxRefusals = 4;

/// Whether the request may be made again under a new request id. Thread-safe.
inline bool IsRefusal(CallEnd end) {
  return end == CallEnd::kNotRun || end == CallEnd::kRefused;
}

/// Returns a stable name such as "not_run". Thread-safe.
absl::string_view CallEndName(CallEnd end);

/// The record of one ended request.
struct FinishedRequest {
  RequestId id;
  std::string kind;
  uint64_t flow_id = 0;
  CallEnd end = CallEnd::kOk;
  /// kNone where the system gave none, as at the deadline.
  Reason reason = Reason::kNone;
  /// From the first transmission to the end, the run time included.
  absl::Duration waiting;
  uint32_t attempts = 0;
  /// True where the deadline passed without a final word from the system.
  bool missing = false;
  uint32_t retry_after_ms = 0;
  /// StableHash() of the whole answer with seed 0; 0 without one.
  uint64_t answer_hash = 0;
  /// Who answered, by the binding; zero where no binding was seen.
  InstanceUid target{};
};

/// What the session wants done after an event.
struct CallerOutput {
  std::vector<CallerMessage> messages;
  std::vector<FinishedRequest> finished;
};

/// One flow of a caller towards one service, as a pure state machine: events
/// and time in, messages and ended requests out. The seed fixes the request
/// ids. Not thread-safe.
///
/// A request repeats after 150 ms, doubling to 1 s, until its deadline. It
/// keeps the first binding that it got; new requests take the flow's newest. A
/// request that was not run is never repeated: Start() makes a new request id.
class CallerSession {
 public:
  struct Options {
    std::string service;
    uint64_t flow_id = 0;
    uint64_t seed = 1;
  };

  explicit CallerSession(Options options);

  /// Sends a new request and returns its id. `output` gets the message.
  RequestId Start(absl::Time now, const CallPlan& plan, CallerOutput* output);
  /// Takes an answer. Answers of other requests, and those of requests that
  /// have ended, are ignored and counted.
  void OnAnswer(absl::Time now, const Answer& answer, CallerOutput* output);
  /// Repeats what is due and ends requests at their deadline.
  void OnTime(absl::Time now, CallerOutput* output);
  /// Ends the flow. Precondition: no request is pending.
  void Close(CallerOutput* output);

  /// When OnTime() is next due; InfiniteFuture when nothing is pending.
  absl::Time NextWake() const;
  size_t pending() const { return pending_.size(); }
  uint64_t flow_id() const { return options_.flow_id; }
  /// Binding for new requests.
  const absl::optional<Binding>& binding() const { return binding_; }
  /// Whether the flow was established and then lost: a request of it timed
  /// out, had an unknown outcome, or was refused because its agent no longer
  /// serves the flow.
  bool broken() const { return broken_; }
  /// Times that the flow's binding passed to another target.
  uint32_t moves() const { return moves_; }
  uint64_t ignored_answers() const { return ignored_answers_; }

 private:
  struct Pending {
    Request request;
    CallPlan plan;
    absl::Time started;
    absl::Time deadline;
    absl::Time next_send;
    absl::Duration timeout;
    AnswerAssembler assembler;
    /// Binding of the agent that holds the answer.
    absl::optional<Binding> answerer;
    int refusals = 0;
    uint32_t transmissions = 0;
    /// Chunks that are on their way.
    ChunkRange window;
  };

  Pending* Find(const RequestId& id);
  void SendRequest(absl::Time now, Pending* pending, CallerOutput* output);
  void SendFetch(absl::Time now, Pending* pending, CallerOutput* output);
  void RepeatLater(absl::Time now, const Answer& answer, Pending* pending);
  void OnBind(absl::Time now,
              const Answer& answer,
              Pending* pending,
              CallerOutput* output);
  void OnPending(absl::Time now, const Answer& answer, Pending* pending);
  void OnChunk(absl::Time now,
               const Answer& answer,
               Pending* pending,
               CallerOutput* output);
  void OnWhole(absl::Time now, Pending* pending, CallerOutput* output);
  void AdoptBinding(const absl::optional<Binding>& binding);
  void Finish(absl::Time now,
              Pending* pending,
              FinishedRequest finished,
              CallerOutput* output);
  void NoteFlow(const Pending& pending, const FinishedRequest& finished);
  void Expire(absl::Time now, Pending* pending, CallerOutput* output);

  Options options_;
  std::mt19937_64 random_;
  std::vector<Pending> pending_;
  absl::optional<Binding> binding_;
  /// Whether an agent has taken the flow, so that requests do not open it.
  bool accepted_ = false;
  bool broken_ = false;
  uint32_t moves_ = 0;
  uint64_t ignored_answers_ = 0;
};

/// Time until the first repeat.
inline constexpr absl::Duration kFirstTimeout = absl::Milliseconds(150);
/// Longest time between repeats.
inline constexpr absl::Duration kLongestTimeout = absl::Seconds(1);

}  // namespace skylarkshunt

#endif  // STANDINS_CALLER_CALLER_SESSION_H_
