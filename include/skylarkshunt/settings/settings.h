#ifndef SKYLARKSHUNT_SETTINGS_SETTINGS_H_
#define SKYLARKSHUNT_SETTINGS_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/flows/agent_core.h"
#include "skylarkshunt/membership/instance_record.h"
#include "skylarkshunt/placement/policy.h"

namespace skylarkshunt {

/// Settings of skylarkshuntd, from a JSON file with comments.
struct Settings {
  Role role = Role::kEntry;
  std::string region;
  std::string data_centre;
  /// UDP: callers' datagrams and agents' replies (entry), or forwards (agent).
  Endpoint data;
  /// Entries only: websocket server of control messages.
  Endpoint control;
  /// HTTP: /healthz, /metrics, /status.
  Endpoint admin;
  /// The platform's object API.
  Endpoint platform;
  /// Control end points of entries known beforehand; may be empty.
  std::vector<Endpoint> seeds;
  /// Agents only.
  std::string service;
  Endpoint target;
  /// "info", "warning" or "error".
  std::string log_level = "info";
  /// Time after which a call of the platform is given up.
  absl::Duration platform_timeout = absl::Seconds(2);
  /// One of this many established packets is logged; 0 logs none.
  uint32_t established_log_rate = 1000;
  /// For measurements against baselines only.
  AgentPolicy agent_policy;
  PlacementPolicy placement_policy = PlacementPolicy::kHunting;
};

/// Checks and reads settings. `file` only names the source in messages.
/// Errors: kInvalidSettings, naming file, key, what was found and the remedy,
/// for unknown or repeated keys, wrong types and values out of range.
/// Thread-safe.
Result<Settings> ParseSettings(absl::string_view text, absl::string_view file);

/// Reads the file at `path` and parses it. Errors: as ParseSettings(), and
/// kNotFound when the file cannot be read. Thread-safe.
Result<Settings> LoadSettings(const std::string& path);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_SETTINGS_SETTINGS_H_
