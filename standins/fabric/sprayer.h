#ifndef STANDINS_FABRIC_SPRAYER_H_
#define STANDINS_FABRIC_SPRAYER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// Faults of the fabric; shares of datagrams are from 0 to 1.
struct FabricFaults {
  double loss = 0;
  double duplicate = 0;
  /// Share held back for `delay`, so that later datagrams overtake them.
  double reorder = 0;
  absl::Duration delay = absl::Milliseconds(3);
  /// Entries that datagrams no longer reach.
  absl::flat_hash_set<Endpoint> cut;
  /// Entries whose datagrams no longer reach a caller.
  absl::flat_hash_set<Endpoint> cut_return;
};

/// Reads {"loss","duplicate","reorder","delay_ms","cut","cut_return"}; a
/// missing key means no such fault. Errors: kInvalidArgument. Thread-safe.
Result<FabricFaults> ParseFabricFaults(absl::string_view json);

/// One entry behind the fabric.
struct FabricEntry {
  Endpoint data;
  /// Where GET /healthz is asked; absent: the entry counts as healthy.
  absl::optional<Endpoint> admin;
};

/// Reads {"entries":["ip:port"],"admin":["ip:port"]}; "admin" is optional and
/// as long as "entries". Errors: kInvalidArgument. Thread-safe.
Result<std::vector<FabricEntry>> ParseFabricEntries(absl::string_view json);

/// Decides which entry gets a datagram and what becomes of it. Pure; the seed
/// fixes all draws. Not thread-safe.
class Sprayer {
 public:
  enum class Pick { kRandom, kRoundRobin };

  Sprayer(Pick pick, uint64_t seed) : pick_(pick), random_(seed) {}

  void SetEntries(std::vector<Endpoint> entries);
  void SetFaults(FabricFaults faults) { faults_ = std::move(faults); }

  /// Returns the entry for the next datagram; nothing when there is none.
  absl::optional<Endpoint> Next();

  /// Returns the delay of each copy to send to the entry; empty when lost.
  std::vector<absl::Duration> FateTo(Endpoint entry);
  /// The same for a datagram from the entry to a caller.
  std::vector<absl::Duration> FateFrom(Endpoint entry);

 private:
  bool Draw(double share);
  std::vector<absl::Duration> Fate();

  Pick pick_;
  std::mt19937_64 random_;
  std::vector<Endpoint> entries_;
  size_t next_ = 0;
  FabricFaults faults_;
};

}  // namespace skylarkshunt

#endif  // STANDINS_FABRIC_SPRAYER_H_
