#ifndef SKYLARKSHUNT_UNITTESTS_PLACEMENT_PLACEMENT_FIXTURES_H_
#define SKYLARKSHUNT_UNITTESTS_PLACEMENT_PLACEMENT_FIXTURES_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/configuration/config_record.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/membership/instance_record.h"
#include "skylarkshunt/placement/routing_snapshot.h"

namespace skylarkshunt {

inline Endpoint AgentEndpoint(int number) {
  return Endpoint{0x7f000100u + static_cast<uint32_t>(number), 7000};
}

/// Agent number `number` of `service`, serving in region "r1".
inline InstanceRecord AgentRecord(ServiceUid service, int number) {
  InstanceRecord record;
  record.role = Role::kAgent;
  record.service = service;
  record.uid = MakeTargetUid(service, absl::StrCat("127.0.1.", number, ":80"));
  record.incarnation = Incarnation{1};
  record.region = "r1";
  record.data = AgentEndpoint(number);
  return record;
}

inline std::vector<InstanceRecord> AgentRecords(ServiceUid service, int count) {
  std::vector<InstanceRecord> records;
  records.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i)
    records.push_back(AgentRecord(service, i));
  return records;
}

inline std::vector<Candidate> CandidatesOf(
    const std::vector<InstanceRecord>& records) {
  std::vector<Candidate> candidates;
  candidates.reserve(records.size());
  for (const InstanceRecord& record : records)
    candidates.push_back({record.uid, record.incarnation, record.data});
  return candidates;
}

/// Service `name` with the kinds "read" (idempotent) and "file" (not).
inline ConfigRecord ServiceRecord(const std::string& name,
                                  ServiceUid uid,
                                  uint64_t revision) {
  ServiceConfig config;
  config.uid = uid;
  config.name = name;
  config.apply_id = "apply";
  config.data_centres = {"a"};
  KindConfig read;
  read.name = "read";
  read.idempotent = true;
  KindConfig file;
  file.name = "file";
  config.kinds = {read, file};
  return ConfigRecord{"services/" + name, Revision{revision}, false,
                      WriteServiceConfig(config)};
}

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_PLACEMENT_PLACEMENT_FIXTURES_H_
