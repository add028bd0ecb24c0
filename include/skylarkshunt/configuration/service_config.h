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
  /// Worth of one completed request, relative to the other kinds; 1 to 1000.
  uint32_t weight = 1;
  bool idempotent = false;
  /// Usual run time at the target; the learned one replaces it.
  absl::Duration usual_duration = absl::Milliseconds(50);
};

/// The configuration of a service, generated from a questionnaire.
struct ServiceConfig {
  ServiceUid uid{};
  std::string name;
  /// Unique per apply, so that a writer that lost the answer can tell its own
  /// write from another's.
  std::string apply_id;
  std::vector<KindConfig> kinds;
  /// Requests that a target runs at once.
  uint16_t slots = 1;
  /// Flows that a target holds at once.
  uint32_t connections = 2000;
  std::vector<std::string> data_centres;
  /// Longest deadline a request may ask for.
  absl::Duration deadline = absl::Seconds(10);
  /// How long bound flows of a draining target may go on.
  absl::Duration drain_limit = absl::Seconds(300);
  /// Time between two added slots of a cold target; 0 opens all at once.
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
