#include "standins/platform/object_store.h"

#include <utility>

#include "absl/strings/match.h"

namespace skylarkshunt {

const StoredObject* ObjectStore::Find(absl::string_view key) const {
  auto it = objects_.find(std::string(key));
  return it == objects_.end() ? nullptr : &it->second;
}

std::vector<StoredObject> ObjectStore::List(absl::string_view prefix) const {
  std::vector<StoredObject> found;
  for (auto it = objects_.lower_bound(std::string(prefix));
       it != objects_.end() && absl::StartsWith(it->first, prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

ChangeResult ObjectStore::Put(absl::string_view key,
                              absl::string_view body,
                              uint64_t expected) {
  const StoredObject* current = Find(key);
  const uint64_t held = current == nullptr ? 0 : current->revision;
  if (held != expected)
    return {ChangeOutcome::kConflict, held};
  if (body.size() > kMaxStoredBytes)
    return {ChangeOutcome::kTooLarge, held};
  if (current == nullptr && objects_.size() >= kMaxStoredObjects)
    return {ChangeOutcome::kFull, held};
  StoredObject object{std::string(key), ++revision_, false, std::string(body)};
  objects_[object.key] = object;
  Record(std::move(object));
  return {ChangeOutcome::kDone, revision_};
}

ChangeResult ObjectStore::Remove(absl::string_view key, uint64_t expected) {
  const StoredObject* current = Find(key);
  if (current == nullptr)
    return {ChangeOutcome::kNotFound, 0};
  if (current->revision != expected)
    return {ChangeOutcome::kConflict, current->revision};
  objects_.erase(std::string(key));
  Record({std::string(key), ++revision_, true, ""});
  return {ChangeOutcome::kDone, revision_};
}

absl::optional<std::vector<StoredObject>> ObjectStore::ChangesAfter(
    absl::string_view prefix,
    uint64_t after) const {
  // A revision from the future belongs to another run of the stand-in.
  if (after < dropped_ || after > revision_)
    return absl::nullopt;
  std::vector<StoredObject> changes;
  for (const StoredObject& change : log_) {
    if (change.revision > after && absl::StartsWith(change.key, prefix))
      changes.push_back(change);
  }
  return changes;
}

void ObjectStore::DropLog() {
  log_.clear();
  dropped_ = revision_;
}

void ObjectStore::Record(StoredObject change) {
  log_.push_back(std::move(change));
  while (log_.size() > max_log_) {
    dropped_ = log_.front().revision;
    log_.pop_front();
  }
}

}  // namespace skylarkshunt
