#include "standins/platform/platform_core.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/time/clock.h"

namespace skylarkshunt {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConflict = 409;
constexpr int kPayloadTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kInsufficientStorage = 507;

nlohmann::json ToJson(const StoredObject& object) {
  const std::string name = object.key.substr(object.key.find('/') + 1);
  return {{"meta",
           {{"name", name},
            {"rev", object.revision},
            {"finalizers", nlohmann::json::array()},
            {"deleting", false}}},
          {"spec", object.deleted ? nlohmann::json()
                                  : nlohmann::json::parse(object.body)},
          {"status", nullptr}};
}

nlohmann::json ToItems(const std::vector<StoredObject>& objects) {
  nlohmann::json items = nlohmann::json::array();
  for (const StoredObject& object : objects)
    items.push_back(ToJson(object));
  return items;
}

nlohmann::json ToEvents(const std::vector<StoredObject>& changes) {
  nlohmann::json events = nlohmann::json::array();
  for (const StoredObject& change : changes)
    events.push_back({{"object", ToJson(change)}, {"removed", change.deleted}});
  return events;
}

PlatformAnswer MakeAnswer(int status, const nlohmann::json& value) {
  PlatformAnswer answer;
  answer.status = status;
  answer.body =
      value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return answer;
}

PlatformAnswer MakeAnswer(int status) {
  return MakeAnswer(status, nlohmann::json::object());
}

bool IsChange(CallKind kind) {
  return kind == CallKind::kWrite || kind == CallKind::kRemove;
}

}  // namespace

PlatformCore::PlatformCore(const Options& options)
    : store_(options.max_log),
      writes_(options.writes_per_second),
      reads_(options.reads_per_second),
      page_size_(options.page_size),
      reports_epoch_(options.reports_epoch) {}

PlatformAnswer PlatformCore::WithEpoch(PlatformAnswer answer) {
  if (reports_epoch_)
    answer.epoch = epoch_;
  if (std::exchange(restores_after_call_, false))
    RestoreLocked();
  return answer;
}

bool PlatformCore::TakeFault(FaultMode mode) {
  if (fault_.mode != mode)
    return false;
  ++counts_.faulted;
  if (fault_.count == 0)
    return true;
  if (--fault_.count == 0)
    fault_.mode = fault_.then;
  return true;
}

absl::optional<PlatformAnswer> PlatformCore::Admit(CallKind kind) {
  ++counts_.by_kind[static_cast<size_t>(kind)];
  CallLimiter& limiter = IsChange(kind) ? writes_ : reads_;
  if (!limiter.Take(absl::Now())) {
    ++counts_.rejected;
    return MakeAnswer(kTooManyRequests);
  }
  const absl::Duration delay = fault_.delay;
  if (TakeFault(FaultMode::kSlow)) {
    const absl::Time end = absl::Now() + delay;
    while (!stopped_ && absl::Now() < end)
      changed_.WaitWithDeadline(&mutex_, end);
  }
  if (stopped_ || TakeFault(FaultMode::kDown))
    return MakeAnswer(kServiceUnavailable);
  return absl::nullopt;
}

PlatformAnswer PlatformCore::LoseCall() {
  while (!stopped_)
    changed_.Wait(&mutex_);
  return MakeAnswer(kServiceUnavailable);
}

PlatformAnswer PlatformCore::Read(absl::string_view key) {
  absl::MutexLock lock(&mutex_);
  return WithEpoch(ReadLocked(key));
}

PlatformAnswer PlatformCore::ReadLocked(absl::string_view key) {
  if (absl::optional<PlatformAnswer> answer = Admit(CallKind::kRead))
    return *answer;
  const StoredObject* object = store_.Find(key);
  return object == nullptr ? MakeAnswer(kNotFound)
                           : MakeAnswer(kOk, ToJson(*object));
}

PlatformAnswer PlatformCore::List(absl::string_view prefix,
                                  absl::string_view after) {
  absl::MutexLock lock(&mutex_);
  return WithEpoch(ListLocked(prefix, after));
}

PlatformAnswer PlatformCore::ListLocked(absl::string_view prefix,
                                        absl::string_view after) {
  if (absl::optional<PlatformAnswer> answer = Admit(CallKind::kList))
    return *answer;
  std::vector<StoredObject> objects = store_.List(prefix);
  const auto first =
      std::find_if(objects.begin(), objects.end(),
                   [&](const StoredObject& o) { return o.key > after; });
  objects.erase(objects.begin(), first);
  const bool more = objects.size() > page_size_;
  if (more)
    objects.resize(page_size_);
  return MakeAnswer(kOk, {{"current-rev", store_.revision()},
                          {"items", ToItems(objects)},
                          {"more", more}});
}

PlatformAnswer PlatformCore::AnswerChange(absl::string_view key,
                                          const ChangeResult& result) {
  const StoredObject* object = store_.Find(key);
  const nlohmann::json current =
      object == nullptr ? nlohmann::json::object() : ToJson(*object);
  switch (result.outcome) {
    case ChangeOutcome::kNotFound:
      return MakeAnswer(kNotFound);
    case ChangeOutcome::kConflict:
      return MakeAnswer(kConflict, current);
    case ChangeOutcome::kTooLarge:
      return MakeAnswer(kPayloadTooLarge);
    case ChangeOutcome::kFull:
      return MakeAnswer(kInsufficientStorage);
    case ChangeOutcome::kDone:
      break;
  }
  changed_.SignalAll();
  PlatformAnswer answer = MakeAnswer(kOk, current);
  answer.cut_off = TakeFault(FaultMode::kLoseAnswers);
  return answer;
}

PlatformAnswer PlatformCore::Write(absl::string_view key,
                                   absl::string_view body,
                                   uint64_t expected) {
  absl::MutexLock lock(&mutex_);
  return WithEpoch(WriteLocked(key, body, expected));
}

PlatformAnswer PlatformCore::WriteLocked(absl::string_view key,
                                         absl::string_view body,
                                         uint64_t expected) {
  if (absl::optional<PlatformAnswer> answer = Admit(CallKind::kWrite))
    return *answer;
  return AnswerChange(key, store_.Put(key, body, expected));
}

PlatformAnswer PlatformCore::Remove(absl::string_view key, uint64_t expected) {
  absl::MutexLock lock(&mutex_);
  return WithEpoch(RemoveLocked(key, expected));
}

PlatformAnswer PlatformCore::RemoveLocked(absl::string_view key,
                                          uint64_t expected) {
  if (absl::optional<PlatformAnswer> answer = Admit(CallKind::kRemove))
    return *answer;
  return AnswerChange(key, store_.Remove(key, expected));
}

PlatformAnswer PlatformCore::AwaitChanges(absl::string_view prefix,
                                          uint64_t after,
                                          absl::Duration wait) {
  const absl::Time end = absl::Now() + wait;
  const uint64_t epoch = epoch_;
  while (true) {
    if (stopped_ || fault_.mode == FaultMode::kDown)
      return MakeAnswer(kServiceUnavailable);
    if (epoch_ != epoch) {
      PlatformAnswer answer = MakeAnswer(kOk);
      answer.cut_off = true;
      return answer;
    }
    if (TakeFault(FaultMode::kLoseWatches))
      return LoseCall();
    absl::optional<std::vector<StoredObject>> changes =
        store_.ChangesAfter(prefix, after);
    if (!changes.has_value())
      return MakeAnswer(kGone);
    if (fault_.mode == FaultMode::kDeafenWatches)
      changes->clear();
    if (!changes->empty() || absl::Now() >= end) {
      return MakeAnswer(kOk, {{"current-rev", store_.revision()},
                              {"events", ToEvents(*changes)}});
    }
    changed_.WaitWithDeadline(&mutex_, end);
  }
}

PlatformAnswer PlatformCore::Watch(absl::string_view prefix,
                                   uint64_t after,
                                   absl::Duration wait) {
  absl::MutexLock lock(&mutex_);
  return WithEpoch(WatchLocked(prefix, after, wait));
}

PlatformAnswer PlatformCore::WatchLocked(absl::string_view prefix,
                                         uint64_t after,
                                         absl::Duration wait) {
  if (absl::optional<PlatformAnswer> answer = Admit(CallKind::kWatch))
    return *answer;
  if (TakeFault(FaultMode::kExpireWatches))
    return MakeAnswer(kGone);
  return AwaitChanges(prefix, after, wait);
}

void PlatformCore::TakeCopy() {
  absl::MutexLock lock(&mutex_);
  copy_ = store_;
}

void PlatformCore::Restore() {
  absl::MutexLock lock(&mutex_);
  RestoreLocked();
}

void PlatformCore::RestoreAfterNextCall() {
  absl::MutexLock lock(&mutex_);
  restores_after_call_ = true;
}

void PlatformCore::RestoreLocked() {
  store_ = *copy_;
  ++epoch_;
  changed_.SignalAll();
}

void PlatformCore::SetFault(const Fault& fault) {
  absl::MutexLock lock(&mutex_);
  const FaultMode former = std::exchange(fault_, fault).mode;
  if (fault.mode == FaultMode::kExpireWatches ||
      former == FaultMode::kDeafenWatches) {
    store_.DropLog();
  }
  changed_.SignalAll();
}

CallCounts PlatformCore::counts() const {
  absl::MutexLock lock(&mutex_);
  return counts_;
}

void PlatformCore::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  changed_.SignalAll();
}

}  // namespace skylarkshunt
