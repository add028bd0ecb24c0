#include "skylarkshunt/process/control_notice.h"

#include "skylarkshunt/base/event.h"
#include "skylarkshunt/base/ids.h"

namespace skylarkshunt {
namespace {

constexpr EventId kInstanceChanged{4001, "instance_changed"};
constexpr EventId kTableFull{4002, "record_table_full"};
constexpr EventId kRefuted{4003, "down_report_refuted"};
constexpr EventId kConfigApplied{5001, "config_applied"};
constexpr EventId kStaleConfigIgnored{5002, "stale_config_ignored"};

void LogInstance(EventId event,
                 Severity severity,
                 const InstanceRecord& record) {
  LogLine(event, severity)
      .Field("uid", ToHex(ToNumber(record.uid)))
      .Field("role", record.role == Role::kEntry ? "entry" : "agent")
      .Field("incarnation", ToNumber(record.incarnation))
      .Field("sequence", record.sequence)
      .Field("state", InstanceStateName(record.state))
      .Field("data", record.data.ToString());
}

void LogConfig(EventId event, Severity severity, const ConfigRecord& config) {
  LogLine(event, severity)
      .Field("key", config.key)
      .Field("revision", ToText(config.revision))
      .Field("deleted", config.deleted ? "true" : "false");
}

}  // namespace

void LogControlNotice(const ControlNotice& notice) {
  switch (notice.kind) {
    case ControlNotice::Kind::kInstanceChanged:
      return LogInstance(kInstanceChanged, Severity::kInfo, notice.record);
    case ControlNotice::Kind::kConfigApplied:
      return LogConfig(kConfigApplied, Severity::kInfo, notice.config);
    case ControlNotice::Kind::kStaleConfigIgnored:
      return LogConfig(kStaleConfigIgnored, Severity::kInfo, notice.config);
    case ControlNotice::Kind::kTableFull:
      return LogInstance(kTableFull, Severity::kWarning, notice.record);
    case ControlNotice::Kind::kRefuted:
      return LogInstance(kRefuted, Severity::kWarning, notice.record);
  }
}

}  // namespace skylarkshunt
