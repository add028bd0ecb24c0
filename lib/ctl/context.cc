#include "context.h"

#include "absl/strings/str_cat.h"
#include "admin_client.h"

namespace skylarkshunt {

Result<std::unique_ptr<PlatformClient>> ConnectPlatform(
    const Context& context) {
  PlatformClient::Options options;
  options.platform = *context.arguments.platform;
  return PlatformClient::Create(options);
}

Result<EntryStatus> ReadEntry(const Context& context) {
  BOOST_OUTCOME_TRY(text, GetAdmin(*context.arguments.entry, "/status"));
  return ParseEntryStatus(text);
}

Result<InstanceStatus> FindTarget(const EntryStatus& status, InstanceUid uid) {
  const std::string text = ToHex(ToNumber(uid));
  for (const InstanceStatus& instance : status.instances) {
    if (instance.is_agent() && instance.uid == text)
      return instance;
  }
  return MakeError(ErrorKind::kNotFound,
                   absl::StrCat("the entry knows no target ", text),
                   "take the uid from 'skylarkshuntctl target list'");
}

Result<AgentStatus> ReadAgent(const InstanceStatus& instance) {
  Result<Endpoint> admin = Endpoint::Parse(instance.admin);
  if (!admin.has_value())
    return admin.error();
  BOOST_OUTCOME_TRY(text, GetAdmin(admin.value(), "/status"));
  return ParseAgentStatus(text);
}

std::string ServiceKey(absl::string_view name) {
  return absl::StrCat("services/", name);
}

}  // namespace skylarkshunt
