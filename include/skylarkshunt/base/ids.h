#ifndef SKYLARKSHUNT_BASE_IDS_H_
#define SKYLARKSHUNT_BASE_IDS_H_

#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"

namespace skylarkshunt {

/// Identity of a service, drawn at random when it is created. A service that is
/// removed and created again under its name has another uid.
enum class ServiceUid : uint64_t {};

/// Identity of a target (and of the agent beside it) or of an entry. For a
/// target it is MakeTargetUid() of its service and address.
enum class InstanceUid : uint64_t {};

/// Number of one run of a process. A later run has a higher number.
enum class Incarnation : uint64_t {};

/// Stable hash of a flow, the same at every entry.
enum class FlowKey : uint64_t {};

/// Number of the copy of the platform's object store. It rises when the store
/// is restored from an older copy, which loses changes and gives out their
/// counts again. 0 if the store does not report it.
enum class Epoch : uint16_t {};

/// Place of a change in the history of the platform's object store; it orders
/// configuration. The upper 16 bits are the epoch, the others count the changes
/// up to it. So a change after a restore follows all changes before it.
enum class Revision : uint64_t {};

inline constexpr int kRevisionCountBits = 48;
/// Largest count of changes in one epoch.
inline constexpr uint64_t kMaxRevisionCount =
    (uint64_t{1} << kRevisionCountBits) - 1;

/// Returns the plain number behind one of the identities above.
template <typename Id>
constexpr uint64_t ToNumber(Id id) {
  return static_cast<uint64_t>(id);
}

/// Returns the revision of the change `count` in `epoch`. Precondition: `count`
/// is at most kMaxRevisionCount. Thread-safe, as are the next two.
constexpr Revision MakeRevision(Epoch epoch, uint64_t count) {
  return Revision{ToNumber(epoch) << kRevisionCountBits | count};
}

/// Returns the epoch in which `revision` was given out.
constexpr Epoch EpochOf(Revision revision) {
  return Epoch{static_cast<uint16_t>(ToNumber(revision) >> kRevisionCountBits)};
}

/// Returns the number of changes up to `revision`, unique within its epoch.
constexpr uint64_t CountOf(Revision revision) {
  return ToNumber(revision) & kMaxRevisionCount;
}

/// Identity of a request, chosen by the caller. A repeat carries the same id.
struct RequestId {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const RequestId& a, const RequestId& b) {
    return a.high == b.high && a.low == b.low;
  }
  friend bool operator!=(const RequestId& a, const RequestId& b) {
    return !(a == b);
  }
  friend bool operator<(const RequestId& a, const RequestId& b) {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
  template <typename H>
  friend H AbslHashValue(H h, const RequestId& id) {
    return H::combine(std::move(h), id.high, id.low);
  }
};

/// Ties a flow to one incarnation of one agent. A non-idempotent request runs
/// only at the agent incarnation that its binding names.
struct Binding {
  InstanceUid target_uid{};
  Incarnation incarnation{};
  /// Milliseconds on the clock of the agent that issued the binding; 0 in a
  /// binding under which no agent runs anything.
  int64_t issued_ms = 0;

  friend bool operator==(const Binding& a, const Binding& b) {
    return a.target_uid == b.target_uid && a.incarnation == b.incarnation &&
           a.issued_ms == b.issued_ms;
  }
};

/// Returns the uid of the target of `service` at `address` ("ip:port"). It is
/// the same on every node and release. Thread-safe.
InstanceUid MakeTargetUid(ServiceUid service, absl::string_view address);

/// Returns the uid of an entry with the data address `address`. Thread-safe.
InstanceUid MakeEntryUid(absl::string_view address);

/// Returns the key of a caller's flow towards `service`. Thread-safe.
FlowKey MakeFlowKey(ServiceUid service, uint64_t caller_flow_id);

/// Returns "EPOCH:COUNT", or the count alone in epoch 0. Thread-safe.
std::string ToText(Revision revision);
/// Returns `number` as 16 hexadecimal digits. Thread-safe.
std::string ToHex(uint64_t number);
/// Returns `id` as 32 hexadecimal digits. Thread-safe.
std::string ToHex(const RequestId& id);
/// Reads 1 to 16 hexadecimal digits; nothing for other text. Thread-safe.
absl::optional<uint64_t> ParseHex(absl::string_view text);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_BASE_IDS_H_
