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
  kTransferred,  ///< Only the receiving agent may run it.
  kUnknown,      ///< Sent to the target, no answer received.
};

/// The receiver of a transferred request.
struct TransferRecord {
  Transfer transfer;
  Endpoint agent;
};

/// The ledger's record of one request.
struct LedgerEntry {
  RequestState state = RequestState::kQueued;
  Reason reason = Reason::kNone;
  /// Set for kTransferred.
  std::unique_ptr<TransferRecord> transfer;
  absl::Time expires;
};

/// Records non-idempotent requests. Each runs at most once, and a request that
/// was refused as not run never runs later. Not thread-safe.
class RequestLedger {
 public:
  explicit RequestLedger(size_t capacity) : capacity_(capacity) {}

  /// Returns the entry, or null. The pointer is valid until the entry expires.
  LedgerEntry* Find(const RequestId& id);

  /// Adds `id`, whose binding was issued at `issued`, and keeps it until `now`
  /// and `issued` are both older than kLedgerHorizon. A binding therefore never
  /// outlives the entry. Returns null when the ledger is full. Precondition:
  /// `id` is not in it.
  LedgerEntry* Insert(absl::Time now, const RequestId& id, absl::Time issued);

  void RemoveExpired(absl::Time now);

  size_t size() const { return entries_.size(); }

 private:
  const size_t capacity_;
  absl::node_hash_map<RequestId, LedgerEntry> entries_;
  // In order of arrival. An entry is kept past its expiry while an older entry
  // that expires later precedes it.
  std::deque<RequestId> by_age_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_REQUEST_LEDGER_H_
