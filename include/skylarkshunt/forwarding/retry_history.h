#ifndef SKYLARKSHUNT_FORWARDING_RETRY_HISTORY_H_
#define SKYLARKSHUNT_FORWARDING_RETRY_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/packets/packet.h"

namespace skylarkshunt {

/// Number of attempts of a client within a request's deadline: the first one
/// and the two retries of the deployments.
inline constexpr uint8_t kMaxAttempts = 3;

/// Which attempt at its request a flow is, as far as an entry can tell.
struct Attempt {
  /// Time at which the client sent the first opening packet of the request.
  absl::Time requested;
  /// Number of earlier attempts that were refused.
  uint8_t refused = 0;

  /// Returns 1 for the first attempt.
  uint8_t number() const { return static_cast<uint8_t>(refused + 1); }
  bool is_last() const { return refused + 1 >= kMaxAttempts; }
};

/// A request that an entry refused and that its client is expected to try
/// again.
struct RefusedRequest {
  /// Address of the client. The retry comes from another port.
  uint32_t client_address = 0;
  Endpoint service;
  /// Time since the first attempt began, in milliseconds.
  uint16_t age_ms = 0;
  /// Number of refused attempts, at least 1.
  uint8_t refused = 0;
};

/// Recognizes the retries of refused requests. A client opens the flow of its
/// next attempt as soon as it has received the refusal, from the same address
/// and another port. A flow that opens shortly after a refusal is therefore
/// taken for the retry, and the refusal is then used up. Where several callers
/// share an address, a wrong guess exchanges two of their requests: one counts
/// as older than it is, the other one as new. It never makes more flows count
/// as retries than were refused. Not thread-safe.
class RetryHistory {
 public:
  /// Records the refusal of `attempt`, unless its client does not try again.
  /// Returns the record to send to the other entries that the retry may reach.
  absl::optional<RefusedRequest> RecordRefused(const FlowId& flow,
                                               const Attempt& attempt,
                                               absl::Time now);
  /// Records a refusal by another entry. Ignored if it is not plausible.
  void RecordReported(const RefusedRequest& refused, absl::Time now);

  /// Returns the attempt of a flow that a client opened at `opened`, and uses
  /// up the oldest refusal that it can follow. Call it once per flow.
  Attempt TakeAttempt(const FlowId& flow, absl::Time opened);

  /// Removes refusals whose retry did not come. Call it every second.
  void Expire(absl::Time now);

  size_t size() const { return size_; }

  /// Time after a refusal within which the retry must open: a round trip to
  /// the client, and the delays of entries with a small processor share.
  static constexpr absl::Duration kRetryWindow = absl::Milliseconds(100);
  /// Maximum number of refusals of one client address and service. Many callers
  /// may share an address; the retries of further ones count as new requests.
  static constexpr size_t kMaxPerClient = 16;
  static constexpr size_t kMaxRefusals = 8'192;

 private:
  struct Refusal {
    absl::Time time;
    Attempt attempt;
  };
  struct Key {
    uint32_t client_address = 0;
    Endpoint service;

    friend bool operator==(const Key& a, const Key& b) {
      return a.client_address == b.client_address && a.service == b.service;
    }
    template <typename H>
    friend H AbslHashValue(H h, const Key& key) {
      return H::combine(std::move(h), key.client_address, key.service);
    }
  };

  void Add(const Key& key, const Attempt& attempt, absl::Time now);

  absl::flat_hash_map<Key, std::deque<Refusal>> refusals_;
  size_t size_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_RETRY_HISTORY_H_
