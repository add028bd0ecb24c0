#ifndef SKYLARKSHUNT_FLOWS_REQUEST_LEDGER_H_
#define SKYLARKSHUNT_FLOWS_REQUEST_LEDGER_H_

#include <cstddef>
#include <deque>
#include <memory>

#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/edge/messages.h"
#include "skylarkshunt/link/messages.h"

namespace skylarkshunt {

/// State of a non-idempotent request. Only kQueued and kRunning change.
enum class RequestState {
  kQueued,
  kRunning,
  kDone,         ///< Ran; the answer may be in the answer store.
  kRefused,      ///< Never ran and never will.
  kTransferred,  ///< Another agent alone may run it.
  kUnknown,      ///< Sent to the target, which gave no answer.
};

/// Who got a transferred request.
struct TransferRecord {
  Transfer transfer;
  Endpoint agent;
};

/// What the ledger knows of one request.
struct LedgerEntry {
  RequestState state = RequestState::kQueued;
  Reason reason = Reason::kNone;
  /// Set for kTransferred.
  std::unique_ptr<TransferRecord> transfer;
  absl::Time expires;
};

/// Remembers non-idempotent requests, so that each runs at most once and each
/// refusal stays true. Not thread-safe.
class RequestLedger {
 public:
  explicit RequestLedger(size_t capacity) : capacity_(capacity) {}

  /// Returns the entry, or null. The pointer holds until the entry expires.
  LedgerEntry* Find(const RequestId& id);

  /// Adds `id`, whose binding was issued at `issued`, and keeps it until both
  /// are older than kLedgerHorizon, so that a binding never outlives the entry.
  /// Returns null when the ledger is full. Precondition: `id` is not in it.
  LedgerEntry* Insert(absl::Time now, const RequestId& id, absl::Time issued);

  void RemoveExpired(absl::Time now);

  size_t size() const { return entries_.size(); }

 private:
  const size_t capacity_;
  absl::node_hash_map<RequestId, LedgerEntry> entries_;
  // In order of arrival. An entry may wait behind one that expires later.
  std::deque<RequestId> by_age_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_REQUEST_LEDGER_H_
