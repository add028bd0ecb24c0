#ifndef SKYLARKSHUNT_LIB_CTL_SERVICE_DIFF_H_
#define SKYLARKSHUNT_LIB_CTL_SERVICE_DIFF_H_

#include <string>
#include <vector>

#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {

/// One field in which two configurations differ; "-" stands for none.
struct Difference {
  std::string field;
  std::string in_place;
  std::string yours;
};

/// Returns what differs, the apply id left out. `in_place` may be null for a
/// service that does not exist. Thread-safe.
std::vector<Difference> CompareServices(const ServiceConfig* in_place,
                                        const ServiceConfig& yours);

/// Returns the fields of a service as texts, in a fixed order. Thread-safe.
std::vector<std::pair<std::string, std::string>> DescribeService(
    const ServiceConfig& config);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_CTL_SERVICE_DIFF_H_
