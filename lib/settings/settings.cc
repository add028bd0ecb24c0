#include "skylarkshunt/settings/settings.h"

#include <array>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr ErrorKind kKind = ErrorKind::kInvalidSettings;
constexpr size_t kMaxSettingsBytes = 65'536;
constexpr size_t kMaxSeeds = 64;
constexpr int64_t kMinPlatformTimeoutMs = 10;
constexpr int64_t kMaxPlatformTimeoutMs = 60'000;
constexpr int64_t kMaxLogRate = 1'000'000'000;

constexpr std::array<absl::string_view, 2> kRoles = {"entry", "agent"};
constexpr std::array<absl::string_view, 3> kLogLevels = {"info", "warning",
                                                         "error"};
constexpr std::array<absl::string_view, 4> kPlacements = {
    "hunting", "hash", "random", "round_robin"};

/// Reads a key that belongs to one role only.
template <typename Read>
void ReadForRole(JsonObjectReader& reader,
                 absl::string_view key,
                 bool belongs,
                 Read read) {
  if (belongs) {
    read();
    return;
  }
  if (reader.Has(key))
    reader.Fail(key, "does not belong to this role", "remove it");
}

void ReadPlace(JsonObjectReader& reader, Settings& settings) {
  settings.role =
      reader.Choice("role", kRoles) == 0 ? Role::kEntry : Role::kAgent;
  settings.region = reader.Name("region");
  settings.data_centre = reader.Name("data_centre");
}

/// An address to connect to; only addresses to listen on may have port 0.
Endpoint ReadPeer(JsonObjectReader& reader, absl::string_view key) {
  const Endpoint peer = reader.Address(key);
  if (reader.ok() && peer.port == 0)
    reader.Fail(key, "has port 0", "write the port that it listens on");
  return peer;
}

void ReadAddresses(JsonObjectReader& reader, Settings& settings) {
  const bool agent = settings.role == Role::kAgent;
  settings.data = reader.Address("data");
  ReadForRole(reader, "control", !agent,
              [&] { settings.control = reader.Address("control"); });
  settings.admin = reader.Address("admin");
  settings.platform = ReadPeer(reader, "platform");
  if (reader.Has("seeds"))
    settings.seeds = reader.Addresses("seeds", kMaxSeeds);
  ReadForRole(reader, "service", agent,
              [&] { settings.service = reader.Name("service"); });
  ReadForRole(reader, "target", agent,
              [&] { settings.target = ReadPeer(reader, "target"); });
}

void ReadLimits(JsonObjectReader& reader, Settings& settings) {
  if (reader.Has("log_level")) {
    settings.log_level =
        std::string(kLogLevels[reader.Choice("log_level", kLogLevels)]);
  }
  if (reader.Has("platform_timeout_ms")) {
    settings.platform_timeout = absl::Milliseconds(reader.Integer(
        "platform_timeout_ms", kMinPlatformTimeoutMs, kMaxPlatformTimeoutMs));
  }
  if (reader.Has("established_log_rate")) {
    settings.established_log_rate = static_cast<uint32_t>(
        reader.Integer("established_log_rate", 0, kMaxLogRate));
  }
}

PlacementPolicy PlacementOf(size_t index) {
  constexpr std::array<PlacementPolicy, kPlacements.size()> kPolicies = {
      PlacementPolicy::kHunting, PlacementPolicy::kHash,
      PlacementPolicy::kRandom, PlacementPolicy::kRoundRobin};
  return kPolicies[index];
}

Result<void> ReadBaseline(JsonObjectReader& settings_reader,
                          absl::string_view file,
                          Settings& settings) {
  if (!settings_reader.Has("baseline"))
    return Success();
  JsonObjectReader reader(settings_reader.Object("baseline"), file, "baseline",
                          kKind);
  if (reader.Has("placement")) {
    settings.placement_policy =
        PlacementOf(reader.Choice("placement", kPlacements));
  }
  AgentPolicy& policy = settings.agent_policy;
  if (reader.Has("first_come_first_served"))
    policy.first_come_first_served = reader.Boolean("first_come_first_served");
  if (reader.Has("no_second_candidate"))
    policy.no_second_candidate = reader.Boolean("no_second_candidate");
  if (reader.Has("no_retry_budget"))
    policy.no_retry_budget = reader.Boolean("no_retry_budget");
  return reader.Finish();
}

}  // namespace

Result<Settings> ParseSettings(absl::string_view text, absl::string_view file) {
  if (text.size() > kMaxSettingsBytes) {
    return MakeError(kKind, absl::StrCat(file, ": ", text.size(), " bytes"),
                     absl::StrCat("keep the settings at or below ",
                                  kMaxSettingsBytes, " bytes"));
  }
  BOOST_OUTCOME_TRY(value, ParseJsonObject(text, file, kKind));
  JsonObjectReader reader(value, file, "", kKind);
  Settings settings;
  ReadPlace(reader, settings);
  ReadAddresses(reader, settings);
  ReadLimits(reader, settings);
  BOOST_OUTCOME_TRYV(ReadBaseline(reader, file, settings));
  BOOST_OUTCOME_TRYV(reader.Finish());
  return settings;
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  // One byte more than allowed shows that the file is too long without reading
  // all of it.
  std::string text(kMaxSettingsBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !file.is_open()) {
    return MakeError(ErrorKind::kNotFound,
                     absl::StrCat("cannot read settings file '", path, "'"),
                     "check the path and the permissions of the file");
  }
  text.resize(static_cast<size_t>(file.gcount()));
  return ParseSettings(text, path);
}

}  // namespace skylarkshunt
