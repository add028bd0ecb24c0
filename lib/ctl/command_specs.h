#ifndef SKYLARKSHUNT_LIB_CTL_COMMAND_SPECS_H_
#define SKYLARKSHUNT_LIB_CTL_COMMAND_SPECS_H_

#include <vector>

#include "arguments.h"

namespace skylarkshunt {

/// Returns every command, in the order of the help text. Thread-safe.
const std::vector<CommandSpec>& CommandSpecs();

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_COMMAND_SPECS_H_
