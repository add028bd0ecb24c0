#ifndef TOOLS_SKYLARKSHUNT_REPLAY_REPORT_H_
#define TOOLS_SKYLARKSHUNT_REPLAY_REPORT_H_

#include <string>
#include <vector>

#include "outcomes.h"

namespace skylarkshunt {

/// Returns the figures and aims as a table for people. Thread-safe.
std::string WriteTable(const std::vector<SideFigures>& sides,
                       const std::vector<AimResult>& aims);

/// Returns the same as one JSON object. Thread-safe.
std::string WriteJson(const std::vector<SideFigures>& sides,
                      const std::vector<AimResult>& aims);

}  // namespace skylarkshunt

#endif  // TOOLS_SKYLARKSHUNT_REPLAY_REPORT_H_
