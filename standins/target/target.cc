#include "standins/target/target.h"

#include <algorithm>

#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr int64_t kMaxLagMs = 600'000;
constexpr int64_t kMaxClaimedRunning = 1'000'000;
constexpr absl::string_view kSource = "request body";

}  // namespace

Result<TargetFaults> ParseTargetFaults(absl::string_view json) {
  BOOST_OUTCOME_TRY(
      value, ParseJsonObject(json, kSource, ErrorKind::kInvalidArgument));
  JsonObjectReader reader(value, kSource, "", ErrorKind::kInvalidArgument);
  TargetFaults faults;
  if (reader.Has("mode")) {
    faults.mode = static_cast<TargetFaults::Mode>(reader.Choice(
        "mode", {"serve", "fail", "hang", "cut_after_run", "shed"}));
  }
  if (reader.Has("share"))
    faults.share = reader.Number("share", 0, 1);
  if (reader.Has("health")) {
    faults.health = static_cast<TargetFaults::Health>(
        reader.Choice("health", {"healthy", "truthful", "sick", "hang"}));
  }
  if (reader.Has("lag_ms"))
    faults.lag = absl::Milliseconds(reader.Integer("lag_ms", 0, kMaxLagMs));
  if (reader.Has("claimed_running")) {
    faults.claimed_running = static_cast<uint32_t>(
        reader.Integer("claimed_running", 0, kMaxClaimedRunning));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return faults;
}

Target::Target(const Options& options)
    : options_(options), start_(absl::Now()), random_(options.seed) {}

bool Target::TakeSlot(absl::Time deadline) {
  if (waiting_.size() >= options_.queue && counts_.running >= options_.slots)
    return false;
  const uint64_t ticket = next_ticket_++;
  waiting_.push_back(ticket);
  const auto own_turn = [this, ticket] {
    mutex_.AssertReaderHeld();
    return stopped_ ||
           (counts_.running < options_.slots && waiting_.front() == ticket);
  };
  const bool in_time =
      mutex_.AwaitWithDeadline(absl::Condition(&own_turn), deadline);
  waiting_.remove(ticket);
  if (!in_time || stopped_)
    return false;
  ++counts_.running;
  counts_.max_running = std::max(counts_.max_running, counts_.running);
  return true;
}

Target::Mode Target::DrawMode() {
  return std::bernoulli_distribution(faults_.share)(random_) ? faults_.mode
                                                             : Mode::kServe;
}

void Target::Work(absl::Duration run_time, Mode mode) {
  if (mode == Mode::kHang) {
    const uint64_t changes = fault_changes_;
    const auto released = [this, changes] {
      mutex_.AssertReaderHeld();
      return stopped_ || fault_changes_ != changes;
    };
    mutex_.Await(absl::Condition(&released));
  }
  if (absl::Now() < start_ + options_.cold_time)
    run_time *= options_.cold_factor;
  mutex_.AwaitWithTimeout(absl::Condition(&stopped_), run_time);
}

Target::Ended Target::Run(const WorkOrder& order,
                          absl::string_view kind,
                          absl::Time deadline) {
  absl::MutexLock lock(&mutex_);
  if (DrawMode() == Mode::kShed || !TakeSlot(deadline)) {
    ++counts_.shed;
    return Ended::kShed;
  }
  // The mode may have changed while the request waited for its slot.
  const Mode mode = DrawMode();
  log_.OnStart(order.request_id, kind, absl::Now());
  Work(order.run_time, mode);
  log_.OnEnd(order.request_id, absl::Now());
  --counts_.running;
  if (mode == Mode::kFail) {
    ++counts_.failed;
    return Ended::kFailed;
  }
  if (mode == Mode::kCutAfterRun) {
    ++counts_.cut;
    return Ended::kCut;
  }
  return Ended::kAnswered;
}

void Target::SetFaults(const TargetFaults& faults) {
  absl::MutexLock lock(&mutex_);
  faults_ = faults;
  ++fault_changes_;
}

Target::View Target::Truth() const {
  const bool at_fault =
      faults_.mode == Mode::kFail || faults_.mode == Mode::kHang;
  View view;
  view.healthy =
      faults_.health == TargetFaults::Health::kHealthy ||
      (faults_.health == TargetFaults::Health::kTruthful && !at_fault);
  view.running = faults_.claimed_running.value_or(counts_.running);
  view.queued = static_cast<uint32_t>(waiting_.size());
  return view;
}

Target::View Target::Observe() {
  absl::MutexLock lock(&mutex_);
  const auto answers = [this] {
    mutex_.AssertReaderHeld();
    return stopped_ || faults_.health != TargetFaults::Health::kHang;
  };
  mutex_.Await(absl::Condition(&answers));
  const absl::Time now = absl::Now();
  if (now - shown_at_ >= faults_.lag) {
    shown_ = Truth();
    shown_at_ = now;
  }
  return shown_;
}

TargetCounts Target::Counts() const {
  absl::MutexLock lock(&mutex_);
  TargetCounts counts = counts_;
  counts.queued = static_cast<uint32_t>(waiting_.size());
  return counts;
}

RunLog Target::Log() const {
  absl::MutexLock lock(&mutex_);
  return log_;
}

void Target::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
}

}  // namespace skylarkshunt
