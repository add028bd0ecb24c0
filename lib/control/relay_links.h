#ifndef SKYLARKSHUNT_LIB_CONTROL_RELAY_LINKS_H_
#define SKYLARKSHUNT_LIB_CONTROL_RELAY_LINKS_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "skylarkshunt/membership/instance_record.h"

namespace skylarkshunt {

/// The entries that an agent knows, and its links to relays. Not thread-safe.
class RelayLinks {
 public:
  struct Link {
    Endpoint relay;
    absl::Time opened;
    absl::Time last_ack = absl::InfinitePast();
    absl::Time next_heartbeat = absl::InfinitePast();
    /// Heartbeats sent since the last acknowledgement.
    uint64_t unanswered = 0;
  };

  /// Adds control endpoints that may be entries of any region. Beyond
  /// kMaxContacts each replaces the oldest one.
  void AddContacts(absl::Span<const Endpoint> contacts);
  /// A relay listed `entries`.
  void OnEntries(absl::Time now,
                 absl::string_view region,
                 absl::Span<const InstanceRecord> entries);
  void OnAck(absl::Time now, Endpoint relay);
  void OnFailed(absl::Time now, Endpoint relay);

  /// Replaces relays that do not acknowledge heartbeats and opens up to `count`
  /// links in rendezvous order of `key`. Without known entries it opens one
  /// link to a contact.
  void Update(absl::Time now, uint64_t key, size_t count);
  /// The process was suspended: restarts the links' acknowledgement timeouts.
  void OnSuspension(absl::Time now);

  std::vector<Link>& links() { return links_; }

 private:
  struct Known {
    InstanceRecord record;
    absl::Time listed;
  };

  bool IsBackedOff(absl::Time now, Endpoint relay) const;
  void FailUnresponsiveLinks(absl::Time now);
  std::vector<Endpoint> Choose(absl::Time now, uint64_t key, size_t count);
  absl::optional<Endpoint> ChooseContact(absl::Time now);

  std::vector<Endpoint> contacts_;
  absl::flat_hash_map<InstanceUid, Known> known_;
  absl::flat_hash_map<Endpoint, absl::Time> backoff_until_;
  std::vector<Link> links_;
  size_t next_contact_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CONTROL_RELAY_LINKS_H_
