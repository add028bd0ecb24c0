#ifndef SKYLARKSHUNT_PLACEMENT_SERVICE_TABLE_H_
#define SKYLARKSHUNT_PLACEMENT_SERVICE_TABLE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/types/span.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/link/messages.h"

namespace skylarkshunt {

/// Maximum number of distinct candidates from the current table. The rest of a
/// candidate list comes from the table of the previous generation.
inline constexpr size_t kMaxCurrentCandidates = 4;

/// Maps the flows of one service to candidates: a Maglev-type lookup table
/// (Eisenbud et al., NSDI 2016) over the uids of the targets, so that every
/// entry that knows the same targets computes the same candidates. Immutable
/// and thread-safe.
class ServiceTable {
 public:
  /// Builds the table of `targets`, in any order. `previous` may be null; its
  /// own previous generation is dropped.
  static std::shared_ptr<const ServiceTable> Build(
      absl::Span<const Candidate> targets,
      const std::shared_ptr<const ServiceTable>& previous);

  /// Returns the candidates of `flow`: distinct, the current generation first.
  /// Empty when there are no targets. Does not allocate.
  CandidateList Candidates(FlowKey flow) const;

  /// Appends candidates of `flow` that `list` does not have yet, from the
  /// current generation only, until it has `limit`. Does not allocate.
  /// Precondition: `limit` is at most kMaxCandidates.
  void AppendCandidates(FlowKey flow, size_t limit, CandidateList& list) const;

  /// Returns the first candidate of `flow`, as plain hashing would choose it,
  /// or null when there are no targets.
  const Candidate* First(FlowKey flow) const;

  /// The targets, ordered by uid.
  absl::Span<const Candidate> targets() const { return targets_; }
  /// Number of entries of the lookup table.
  size_t size() const { return slots_.size(); }
  /// Whether this table has exactly `sorted_targets`, with the same
  /// incarnations and addresses. Precondition: ordered by uid.
  bool SameTargets(absl::Span<const Candidate> sorted_targets) const;

 private:
  ServiceTable() = default;

  void Fill();

  std::vector<Candidate> targets_;
  /// Indices into targets_.
  std::vector<uint16_t> slots_;
  std::shared_ptr<const ServiceTable> previous_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PLACEMENT_SERVICE_TABLE_H_
