#ifndef STANDINS_CALLER_LOAD_TALLY_H_
#define STANDINS_CALLER_LOAD_TALLY_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "skylarkshunt/base/histogram.h"
#include "standins/caller/caller_session.h"

namespace skylarkshunt {

/// Counts of one kind of request.
struct KindTally {
  /// Request ids sent, those of repeated work included.
  uint64_t issued = 0;
  /// Ended request ids by CallEnd.
  std::array<uint64_t, kCallEnds> ends = {};
  /// Ended at the deadline without a final word from the system.
  uint64_t missing = 0;
  /// Work whose last request id was refused, so that it was not done.
  uint64_t given_up = 0;
  /// Refused request ids by reason.
  std::map<Reason, uint64_t> not_run;
  /// Microseconds from the start of the work (for a set rate: from the time
  /// at which it was due) to its whole answer; kOk only.
  Histogram waiting_us;
  uint64_t attempts = 0;
  uint32_t max_attempts = 0;
};

/// The record of one ended request id.
struct RequestRecord {
  RequestId id;
  uint32_t kind = 0;
  CallEnd end = CallEnd::kOk;
  Reason reason = Reason::kNone;
};

/// Counts of a load; one per thread. Not thread-safe.
struct LoadTally {
  explicit LoadTally(size_t kind_count) : kinds(kind_count) {}

  /// Adds the counts of `other`, which has the same kinds.
  void Merge(const LoadTally& other);
  uint64_t EndsOf(CallEnd end) const;

  std::vector<KindTally> kinds;
  uint64_t flows = 0;
  uint64_t broken_flows = 0;
  uint64_t moved_flows = 0;
  uint64_t ignored_answers = 0;
  uint64_t malformed_answers = 0;
  /// Due requests that found every flow at its limit of pending requests.
  uint64_t not_issued = 0;
  /// kOk requests by target uid.
  std::map<uint64_t, uint64_t> targets;
  std::vector<RequestRecord> records;
};

/// Most records of one thread; later ones are left out.
inline constexpr size_t kMaxRecords = 2'000'000;

/// Returns the JSON summary. `kinds` names the kinds in order. Thread-safe.
std::string WriteSummary(const LoadTally& tally,
                         const std::vector<std::string>& kinds,
                         double seconds);

/// Writes one line "ID KIND END REASON" per record. Returns false when the
/// file cannot be written. Thread-safe.
bool WriteRecords(const LoadTally& tally,
                  const std::vector<std::string>& kinds,
                  const std::string& path);

}  // namespace skylarkshunt

#endif  // STANDINS_CALLER_LOAD_TALLY_H_
