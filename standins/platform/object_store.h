#ifndef SKYLARKSHUNT_STANDINS_PLATFORM_OBJECT_STORE_H_
#define SKYLARKSHUNT_STANDINS_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace skylarkshunt {

/// One object or change of the stand-in platform.
struct StoredObject {
  std::string key;
  uint64_t revision = 0;
  bool deleted = false;
  std::string body;
};

/// Outcome of a conditional change.
enum class ChangeOutcome { kDone, kNotFound, kConflict, kTooLarge, kFull };

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kDone;
  /// The new revision, or on a conflict the object's own (0 if absent).
  uint64_t revision = 0;
};

/// Objects of the stand-in platform with one global revision counter and a
/// bounded log of changes. Not thread-safe.
class ObjectStore {
 public:
  /// Keeps the last `max_log` changes for watches.
  explicit ObjectStore(size_t max_log) : max_log_(max_log) {}

  /// Returns the object at `key`, or null.
  const StoredObject* Find(absl::string_view key) const;
  std::vector<StoredObject> List(absl::string_view prefix) const;

  /// Stores `body` if the object has the revision `expected`, 0 meaning absent.
  ChangeResult Put(absl::string_view key,
                   absl::string_view body,
                   uint64_t expected);
  ChangeResult Remove(absl::string_view key, uint64_t expected);

  /// Returns the changes below `prefix` after `after`, or nothing when the log
  /// no longer holds all of them.
  absl::optional<std::vector<StoredObject>> ChangesAfter(
      absl::string_view prefix,
      uint64_t after) const;

  /// Drops the whole log, so that watches behind the current revision expire.
  void DropLog();

  uint64_t revision() const { return revision_; }

 private:
  void Record(StoredObject change);

  size_t max_log_;
  uint64_t revision_ = 0;
  /// Revision of the newest change that the log has dropped.
  uint64_t dropped_ = 0;
  std::map<std::string, StoredObject, std::less<>> objects_;
  std::deque<StoredObject> log_;
};

/// Largest body of one object, in bytes.
inline constexpr size_t kMaxStoredBytes = 1'048'576;
/// Most objects held.
inline constexpr size_t kMaxStoredObjects = 100'000;

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PLATFORM_OBJECT_STORE_H_
