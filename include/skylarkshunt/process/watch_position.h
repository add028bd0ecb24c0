#ifndef SKYLARKSHUNT_PROCESS_WATCH_POSITION_H_
#define SKYLARKSHUNT_PROCESS_WATCH_POSITION_H_

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// The revision from which the next watch of an object store goes on. An answer
/// names the current revision, but a watch that did not see a change may name a
/// revision beyond it, and a watch from there would never report it. So a
/// revision without a change is used only once a later watch from before it has
/// been answered, too. Pure logic. Not thread-safe.
class WatchPosition {
 public:
  /// Precondition: `settle_time` is not negative. It is the least time between
  /// the answer that names a revision and the later one that confirms it. It
  /// must exceed the time for which watches may miss changes.
  explicit WatchPosition(absl::Duration settle_time)
      : settle_time_(settle_time) {}

  /// Returns the revision after which the next watch asks for changes.
  Revision revision() const { return revision_; }

  /// Goes on from `revision`, up to which all changes are known from a list or
  /// from a peer.
  void Reset(Revision revision);

  /// Records the answer, at `now`, of a watch from revision(). `current` is the
  /// revision that it names, `newest_change` the highest one of its changes, or
  /// 0 without one. If that is not above revision(), or is above `current`,
  /// `current` is used at once.
  /// Precondition: the watch began after the previous answer.
  void OnAnswered(Revision current, Revision newest_change, absl::Time now);

 private:
  struct Unconfirmed {
    Revision revision{};
    absl::Time named;
  };

  const absl::Duration settle_time_;
  Revision revision_{};
  /// The next revision to go on from.
  absl::optional<Unconfirmed> unconfirmed_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PROCESS_WATCH_POSITION_H_
