#include "standins/caller/caller_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "skylarkshunt/base/hash.h"
#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

/// Whether a refusal means that the agent no longer serves the flow, so that
/// the next request must open it again.
bool LosesFlow(Reason reason) {
  switch (reason) {
    case Reason::kDraining:
    case Reason::kRebind:
    case Reason::kFlowUnknown:
    case Reason::kUnknownService:
    case Reason::kNoTarget:
    case Reason::kTargetUnreachable:
    case Reason::kWrongInstance:
    case Reason::kExpiredBinding:
    case Reason::kLeaseLapsed:
    case Reason::kLedgerFull:
    case Reason::kShuttingDown:
      return true;
    default:
      return false;
  }
}

bool LosesFlow(const FinishedRequest& finished) {
  return finished.end == CallEnd::kOutcomeUnknown ||
         finished.end == CallEnd::kTimedOut ||
         (IsRefusal(finished.end) && LosesFlow(finished.reason));
}

CallEnd EndOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOutcomeUnknown:
      return CallEnd::kOutcomeUnknown;
    case Outcome::kAnswerGone:
      return CallEnd::kAnswerGone;
    case Outcome::kTargetError:
      return CallEnd::kTargetError;
    case Outcome::kRefused:
      return CallEnd::kRefused;
    default:
      return CallEnd::kNotRun;
  }
}

}  // namespace

absl::string_view CallEndName(CallEnd end) {
  switch (end) {
    case CallEnd::kOk:
      return "ok";
    case CallEnd::kWrongAnswer:
      return "wrong_answer";
    case CallEnd::kNotRun:
      return "not_run";
    case CallEnd::kOutcomeUnknown:
      return "outcome_unknown";
    case CallEnd::kTimedOut:
      return "timed_out";
    case CallEnd::kAnswerGone:
      return "answer_gone";
    case CallEnd::kTargetError:
      return "target_error";
    case CallEnd::kRefused:
      return "refused";
  }
  return "unknown";
}

CallerSession::CallerSession(Options options)
    : options_(std::move(options)), random_(options_.seed) {}

RequestId CallerSession::Start(absl::Time now,
                               const CallPlan& plan,
                               CallerOutput* output) {
  Pending pending;
  Request& request = pending.request;
  request.service = options_.service;
  request.kind = plan.kind;
  request.flow_id = options_.flow_id;
  request.request_id.high = random_();
  request.request_id.low = random_();
  request.opening = !accepted_;
  request.attempt = 0;
  request.binding = binding_;
  request.body =
      WriteWorkOrder({request.request_id, plan.answer_bytes, plan.run_time});
  pending.plan = plan;
  pending.started = now;
  pending.deadline = now + plan.deadline;
  pending.timeout = kFirstTimeout;
  SendRequest(now, &pending, output);
  pending_.push_back(std::move(pending));
  return pending_.back().request.request_id;
}

CallerSession::Pending* CallerSession::Find(const RequestId& id) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(),
      [&id](const Pending& p) { return p.request.request_id == id; });
  return found == pending_.end() ? nullptr : &*found;
}

void CallerSession::SendRequest(absl::Time now,
                                Pending* pending,
                                CallerOutput* output) {
  Request& request = pending->request;
  ++request.attempt;
  ++pending->transmissions;
  // A deadline of 0 ms would read as no time at all.
  request.deadline_ms = static_cast<uint32_t>(
      std::max<int64_t>(1, absl::ToInt64Milliseconds(pending->deadline - now)));
  output->messages.emplace_back(request);
  pending->next_send = now + pending->timeout;
  pending->timeout = std::min(kLongestTimeout, pending->timeout * 2);
}

void CallerSession::SendFetch(absl::Time now,
                              Pending* pending,
                              CallerOutput* output) {
  pending->window = pending->assembler.FirstMissing();
  Fetch fetch;
  fetch.service = options_.service;
  fetch.flow_id = options_.flow_id;
  fetch.request_id = pending->request.request_id;
  fetch.binding =
      pending->answerer ? pending->answerer : pending->request.binding;
  fetch.first_chunk = pending->window.first;
  fetch.chunk_count = pending->window.count;
  output->messages.emplace_back(std::move(fetch));
  pending->next_send = now + pending->timeout;
  pending->timeout = std::min(kLongestTimeout, pending->timeout * 2);
}

void CallerSession::OnAnswer(absl::Time now,
                             const Answer& answer,
                             CallerOutput* output) {
  Pending* pending = Find(answer.request_id);
  if (pending == nullptr) {
    ++ignored_answers_;
    return;
  }
  if (answer.outcome == Outcome::kBind)
    return OnBind(now, answer, pending, output);
  if (answer.outcome == Outcome::kOk)
    return OnChunk(now, answer, pending, output);
  if (answer.outcome == Outcome::kPending)
    return OnPending(now, answer, pending);
  // Another agent may refuse a copy of a request that is being answered.
  const bool answered = pending->assembler.started();
  if (answered && answer.outcome != Outcome::kAnswerGone) {
    ++ignored_answers_;
    return;
  }
  if (answer.outcome == Outcome::kRefused &&
      ++pending->refusals < kMaxRefusals) {
    return RepeatLater(now, answer, pending);
  }
  AdoptBinding(answer.binding);
  if (answer.outcome == Outcome::kTargetError)
    accepted_ = true;
  FinishedRequest finished;
  finished.end = EndOf(answer.outcome);
  finished.reason = answer.reason;
  finished.retry_after_ms = answer.retry_after_ms;
  Finish(now, pending, std::move(finished), output);
}

// Another copy of a refused request may be running, so it stays open and is
// sent again after the delay that the refusal names.
void CallerSession::RepeatLater(absl::Time now,
                                const Answer& answer,
                                Pending* pending) {
  const absl::Duration delay = absl::Milliseconds(answer.retry_after_ms);
  pending->next_send = now + std::max(kFirstTimeout, delay);
  if (!LosesFlow(answer.reason))
    return;
  if (binding_ == pending->request.binding) {
    binding_.reset();
    accepted_ = false;
  }
  pending->request.binding = binding_;
  pending->request.opening = !accepted_;
}

void CallerSession::OnBind(absl::Time now,
                           const Answer& answer,
                           Pending* pending,
                           CallerOutput* output) {
  // Repeating under a second binding could run the request twice.
  if (pending->request.binding || !answer.binding ||
      pending->assembler.started()) {
    ++ignored_answers_;
    return;
  }
  pending->request.binding = answer.binding;
  pending->request.opening = false;
  pending->timeout = kFirstTimeout;
  // A refusal binding only makes the refusal of this request final.
  if (!IsRefusalBinding(*answer.binding)) {
    accepted_ = true;
    AdoptBinding(answer.binding);
  }
  SendRequest(now, pending, output);
}

void CallerSession::OnPending(absl::Time now,
                              const Answer& answer,
                              Pending* pending) {
  if (pending->assembler.started())
    return;
  accepted_ = true;
  AdoptBinding(answer.binding);
  Request& request = pending->request;
  if (!request.binding && answer.binding) {
    request.binding = answer.binding;
    request.opening = false;
  }
  request.attempt = 0;
  pending->timeout = kLongestTimeout;
  pending->next_send = now + kLongestTimeout;
}

void CallerSession::OnChunk(absl::Time now,
                            const Answer& answer,
                            Pending* pending,
                            CallerOutput* output) {
  AnswerAssembler& assembler = pending->assembler;
  const bool first = !assembler.started();
  if (assembler.Add(answer) != AnswerAssembler::Added::kNew) {
    ++ignored_answers_;
    return;
  }
  accepted_ = true;
  AdoptBinding(answer.binding);
  if (answer.binding) {
    pending->answerer = answer.binding;
    if (!pending->request.binding)
      pending->request.binding = answer.binding;
  }
  if (first) {
    pending->window = {0,
                       std::min(kMaxChunksPerFetch, assembler.chunk_count())};
  }
  pending->timeout = kFirstTimeout;
  pending->next_send = now + pending->timeout;
  if (assembler.whole())
    return OnWhole(now, pending, output);
  if (assembler.Has(pending->window))
    SendFetch(now, pending, output);
}

void CallerSession::OnWhole(absl::Time now,
                            Pending* pending,
                            CallerOutput* output) {
  Done done;
  done.service = options_.service;
  done.flow_id = options_.flow_id;
  done.request_id = pending->request.request_id;
  done.binding =
      pending->answerer ? pending->answerer : pending->request.binding;
  output->messages.emplace_back(std::move(done));
  const std::string& body = pending->assembler.body();
  FinishedRequest finished;
  finished.answer_hash = StableHash(body, 0);
  const std::string expected =
      MakeAnswer(pending->request.request_id, pending->plan.answer_bytes);
  finished.end = body == expected ? CallEnd::kOk : CallEnd::kWrongAnswer;
  Finish(now, pending, std::move(finished), output);
}

void CallerSession::AdoptBinding(const absl::optional<Binding>& binding) {
  if (!binding)
    return;
  const bool moved = binding_ && binding_->target_uid != binding->target_uid;
  // A late answer may carry a binding older than the one held.
  if (binding_ && !moved &&
      (binding->incarnation < binding_->incarnation ||
       (binding->incarnation == binding_->incarnation &&
        binding->issued_ms < binding_->issued_ms))) {
    return;
  }
  if (moved)
    ++moves_;
  binding_ = binding;
}

void CallerSession::Finish(absl::Time now,
                           Pending* pending,
                           FinishedRequest finished,
                           CallerOutput* output) {
  finished.id = pending->request.request_id;
  finished.kind = pending->plan.kind;
  finished.flow_id = options_.flow_id;
  finished.waiting = now - pending->started;
  finished.attempts = pending->transmissions;
  const auto& holder =
      pending->answerer ? pending->answerer : pending->request.binding;
  if (holder)
    finished.target = holder->target_uid;
  NoteFlow(*pending, finished);
  output->finished.push_back(std::move(finished));
  pending_.erase(pending_.begin() + (pending - pending_.data()));
}

void CallerSession::NoteFlow(const Pending& pending,
                             const FinishedRequest& finished) {
  if (!LosesFlow(finished))
    return;
  if (accepted_ && !pending.request.opening)
    broken_ = true;
  // Another request may have opened the flow anew already.
  if (binding_ && pending.request.binding &&
      !(*binding_ == *pending.request.binding)) {
    return;
  }
  binding_.reset();
  accepted_ = false;
}

void CallerSession::Expire(absl::Time now,
                           Pending* pending,
                           CallerOutput* output) {
  FinishedRequest finished;
  finished.end =
      pending->plan.idempotent ? CallEnd::kTimedOut : CallEnd::kOutcomeUnknown;
  finished.missing = true;
  Finish(now, pending, std::move(finished), output);
}

void CallerSession::OnTime(absl::Time now, CallerOutput* output) {
  for (size_t i = 0; i < pending_.size();) {
    Pending* pending = &pending_[i];
    if (now >= pending->deadline) {
      Expire(now, pending, output);
      continue;
    }
    ++i;
    if (now < pending->next_send)
      continue;
    if (pending->assembler.started())
      SendFetch(now, pending, output);
    else
      SendRequest(now, pending, output);
  }
}

void CallerSession::Close(CallerOutput* output) {
  assert(pending_.empty() && "end the requests before the flow");
  skylarkshunt::Close close;
  close.service = options_.service;
  close.flow_id = options_.flow_id;
  close.binding = binding_;
  output->messages.emplace_back(std::move(close));
  binding_.reset();
  accepted_ = false;
}

absl::Time CallerSession::NextWake() const {
  absl::Time next = absl::InfiniteFuture();
  for (const Pending& pending : pending_)
    next = std::min({next, pending.next_send, pending.deadline});
  return next;
}

}  // namespace skylarkshunt
