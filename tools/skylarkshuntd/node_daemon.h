#ifndef SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_NODE_DAEMON_H_
#define SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_NODE_DAEMON_H_

#include <cstdint>

namespace skylarkshunt {

/// Runs a node with the settings file that the platform names in the
/// environment until it ends, and returns the exit code. Logs go to standard
/// output. Metrics are served on `metrics_port` too, unless it is 0.
/// Precondition: no other thread runs yet.
int RunNodeDaemon(uint16_t metrics_port);

/// Checks that settings file, prints the verdict and returns the exit code.
int CheckNodeSettings();

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_NODE_DAEMON_H_
