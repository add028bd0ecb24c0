#ifndef SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_DAEMON_H_
#define SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_DAEMON_H_

#include <string>

#include "skylarkshunt/settings/settings.h"

namespace skylarkshunt {

/// Runs the role of `settings` until it ends and returns the exit code.
/// `file` is read again at SIGHUP. Precondition: no other thread runs yet, as
/// all threads inherit the blocked signals.
int RunDaemon(const Settings& settings, const std::string& file);

/// Lets glog write lines of `log_level` and above.
void ApplyLogLevel(const std::string& log_level);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_SKYLARKSHUNTD_DAEMON_H_
