#ifndef TOOLS_SKYLARKSHUNT_REPLAY_OUTCOMES_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_OUTCOMES_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "figures.h"
#include "skylarkshunt/base/error.h"

namespace skylarkshunt {

/// What a figure is stated to be: at most or at least the bound.
struct Aim {
  std::string measure;
  double bound = 0;
  bool at_most = true;
};

/// The stated outcomes of a trace.
struct Outcomes {
  /// Kinds that stragglers must not hold up.
  std::vector<std::string> short_kinds;
  std::vector<Aim> aims;
};

/// The figures of one side, and of the same trace without the stragglers.
struct SideFigures {
  std::string side;
  Figures figures;
  absl::optional<Figures> without;
};

/// An aim held against the first side. No figure, as for an aim that needs a
/// run that was not made, counts as not met.
struct AimResult {
  Aim aim;
  absl::optional<double> figure;
  bool met = false;
};

/// Reads an outcomes file. Errors: kInvalidArgument, naming the key and the
/// remedy. Thread-safe.
Result<Outcomes> ParseOutcomes(absl::string_view text, absl::string_view file);

/// Holds the first side against the aims; the others are baselines.
/// Precondition: `sides` is not empty. Thread-safe.
std::vector<AimResult> HoldAgainst(const Outcomes& outcomes,
                                   const std::vector<SideFigures>& sides);

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_OUTCOMES_H_
