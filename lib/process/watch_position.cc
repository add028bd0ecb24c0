#include "skylarkshunt/process/watch_position.h"

namespace skylarkshunt {
namespace {

bool IsLower(Revision a, Revision b) {
  return ToNumber(a) < ToNumber(b);
}

}  // namespace

void WatchPosition::Reset(Revision revision) {
  revision_ = revision;
  unconfirmed_.reset();
}

void WatchPosition::OnAnswered(Revision current,
                               Revision newest_change,
                               absl::Time now) {
  // The event of a removal may have the revision of the last change before it.
  // It comes again with each watch until the position is beyond the removal.
  const bool is_repeated =
      newest_change != Revision{} && !IsLower(revision_, newest_change);
  // No change is newer than the store. Such a revision comes from an object
  // that another writer left.
  const bool is_beyond = IsLower(current, newest_change);
  const Revision next = is_repeated || is_beyond ? current : newest_change;
  if (IsLower(revision_, next))
    revision_ = next;
  if (unconfirmed_.has_value() && now >= unconfirmed_->named + settle_time_) {
    if (IsLower(revision_, unconfirmed_->revision))
      revision_ = unconfirmed_->revision;
    unconfirmed_.reset();
  }
  if (!unconfirmed_.has_value() && IsLower(revision_, current))
    unconfirmed_ = Unconfirmed{current, now};
}

}  // namespace skylarkshunt
