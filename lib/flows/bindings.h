#ifndef SKYLARKSHUNT_FLOWS_BINDINGS_H_
#define SKYLARKSHUNT_FLOWS_BINDINGS_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/edge/messages.h"

namespace skylarkshunt {

/// Returns `time` as the whole milliseconds of Binding::issued_ms.
int64_t ToIssuedMs(absl::Time time);

/// Whether a binding issued at `issued_ms` has expired at `now` on the same
/// clock.
bool IsExpired(absl::Time now, int64_t issued_ms);

/// Issues and checks the bindings of one agent. Stores no bindings, only the
/// revocation time and the former incarnations that invalidate them. Not
/// thread-safe.
class Bindings {
 public:
  enum class State {
    kValid,
    /// Revoked, or of a former incarnation of this process. A request under it
    /// that is not in the ledger has never run and never will.
    kRevoked,
    kExpired,
    /// Of another agent, or of an earlier process of this target's agent.
    kForeign,
  };

  Bindings(InstanceUid uid, Incarnation incarnation);

  /// Returns a new valid binding.
  Binding Issue(absl::Time now);
  /// Returns a binding for which IsRefusalBinding() holds.
  Binding IssueRefusal() const;
  State Check(absl::Time now, const Binding& binding) const;

  /// Invalidates all bindings issued so far.
  void RevokeAll(absl::Time now);

  /// Takes a new incarnation. All earlier bindings are revoked.
  void TakeIncarnation(Incarnation incarnation);
  Incarnation incarnation() const { return incarnation_; }
  /// Whether this process held `incarnation` before.
  bool IsFormer(Incarnation incarnation) const;

 private:
  const InstanceUid uid_;
  Incarnation incarnation_;
  int64_t last_issued_ms_ = 0;
  int64_t revoked_through_ms_ = 0;
  std::deque<Incarnation> former_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_BINDINGS_H_
