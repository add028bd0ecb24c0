#ifndef SKYLARKSHUNT_STANDINS_PACKET_FLEET_CONFIGURATION_JUDGE_H_
#define SKYLARKSHUNT_STANDINS_PACKET_FLEET_CONFIGURATION_JUDGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standins/packet_fleet/fault_injector.h"
#include "standins/packet_fleet/packet_fleet.h"

namespace skylarkshunt {

/// Judges rule CONFIG: a version is used by every entry within its bound after
/// its confirmation, and no process of an entry goes back to an older one. For
/// the bound, entries are excused while they, the store or the way to it
/// are disturbed, and for the stable window after that; the two times do not
/// add up. Not thread-safe.
class ConfigurationJudge {
 public:
  /// Time from the confirmation of a version to its use, as in the deployments.
  static constexpr absl::Duration kBound = absl::Seconds(3);

  /// Precondition: both outlive this object.
  ConfigurationJudge(const PacketFleet& fleet, const FaultInjector& faults);

  /// Asks the entries for the version that they use. Call it every few
  /// milliseconds; entries are asked a few times a second.
  void Poll(absl::Time now);
  /// As Poll(), at once.
  void Finish();

  /// Number of times that an entry was asked while a version was due.
  int checks() const { return checks_; }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  /// Returns the highest version whose bound has passed, or 0.
  uint64_t DueVersion(absl::Time now) const;
  void Ask(size_t entry, uint64_t due);
  /// Asks an entry whether it went back to an older version since its start.
  void AskForRegression(size_t entry);

  const PacketFleet& fleet_;
  const FaultInjector& faults_;
  /// Highest version that a process has used.
  struct Used {
    absl::Time started;
    uint64_t version = 0;
  };

  /// By node: the version that its last broken promise was about.
  std::vector<uint64_t> reported_;
  std::vector<Used> used_;
  absl::Time next_ = absl::InfinitePast();
  int checks_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_STANDINS_PACKET_FLEET_CONFIGURATION_JUDGE_H_
