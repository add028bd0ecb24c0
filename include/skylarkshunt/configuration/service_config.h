#ifndef SKYLARKSHUNT_CONFIGURATION_SERVICE_CONFIG_H_
#define SKYLARKSHUNT_CONFIGURATION_SERVICE_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {

/// One kind of request of a service.
struct KindConfig {
  std::string name;
  /// Value of one completed request, relative to the other kinds; 1 to 1000.
  uint32_t weight = 1;
  bool idempotent = false;
  /// Usual run time at the target, used until a run time is learned.
  absl::Duration usual_duration = absl::Milliseconds(50);
};

/// The configuration of a service, generated from a questionnaire.
struct ServiceConfig {
  ServiceUid uid{};
  std::string name;
  /// Unique per apply. A writer that lost the answer recognises its own write
  /// by it.
  std::string apply_id;
  std::vector<KindConfig> kinds;
  /// Maximum number of requests that a target runs concurrently.
  uint16_t slots = 1;
  /// Maximum number of flows that a target holds.
  uint32_t connections = 2000;
  std::vector<std::string> data_centres;
  /// Longest deadline that a request may have.
  absl::Duration deadline = absl::Seconds(10);
  /// How long the bound flows of a draining target may continue.
  absl::Duration drain_limit = absl::Seconds(300);
  /// Time between two slots added to a cold target; 0 opens all slots at once.
  absl::Duration warm_up_step = absl::ZeroDuration();

  /// Returns the kind named `kind`, or null. Thread-safe on a const object.
  const KindConfig* FindKind(absl::string_view kind) const;
};

/// Reads the JSON body of a "services/NAME" object. Errors: kMalformedMessage,
/// naming the key, what was found and the remedy. Thread-safe.
Result<ServiceConfig> ParseServiceConfig(absl::string_view body);

/// Writes the JSON body of a "services/NAME" object. Thread-safe.
std::string WriteServiceConfig(const ServiceConfig& config);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_CONFIGURATION_SERVICE_CONFIG_H_
