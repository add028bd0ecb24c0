#ifndef TOOLS_SKYLARKSHUNT_REPLAY_PLOT_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_PLOT_H_

#include <string>
#include <vector>

#include "figures.h"

namespace skylarkshunt {

/// Writes waiting time (p50, p99) and completions per second over time as an
/// SVG file. PLplot ends the process when it cannot write `path`. Not
/// thread-safe: PLplot keeps global state.
void WritePlot(const std::string& path,
               const std::vector<SecondFigures>& seconds);

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_PLOT_H_
