#include "skylarkshunt/forwarding/route_table_codec.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>
#include <utility>
#include <vector>

#include "byte_codec.h"
#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

constexpr uint8_t kVersion = 1;
/// Encodes an infinite duration.
constexpr uint64_t kNever = std::numeric_limits<uint64_t>::max();
/// Maximum number of shares of a route. Operators split traffic between a few
/// services.
constexpr size_t kMaxShares = 64;

uint64_t ToMicroseconds(absl::Duration time) {
  return time == absl::InfiniteDuration()
             ? kNever
             : static_cast<uint64_t>(absl::ToInt64Microseconds(time));
}

absl::Duration FromMicroseconds(uint64_t time) {
  return time == kNever ? absl::InfiniteDuration()
                        : absl::Microseconds(static_cast<int64_t>(time));
}

/// Name of the service that holds the warm-up of another one. Nodes of releases
/// without warm-ups read it as a service that no route uses.
constexpr absl::string_view kWarmupRecord = "skylarkshunt-warmup";
constexpr uint64_t kWarmupSeed = 0x7761726d;

ServiceUid WarmupUidOf(ServiceUid service) {
  return ServiceUid{StableHash(ToNumber(service), kWarmupSeed)};
}

bool HasWarmup(const ServiceSettings& settings) {
  return settings.warmup != absl::ZeroDuration() ||
         settings.warmup_per_second != 0;
}

ServiceSettings MakeWarmupRecord(ServiceUid service,
                                 const ServiceSettings& settings) {
  uint64_t per_second = 0;
  static_assert(sizeof(per_second) == sizeof(settings.warmup_per_second),
                "a rate is written as 8 bytes");
  std::memcpy(&per_second, &settings.warmup_per_second, sizeof(per_second));
  std::vector<uint8_t> bytes;
  ByteWriter writer(bytes);
  writer.Identity(service);
  writer.Number(ToMicroseconds(settings.warmup));
  writer.Number(per_second);
  ServiceSettings record;
  record.name = std::string(kWarmupRecord);
  record.health_path.assign(bytes.begin(), bytes.end());
  return record;
}

/// Moves the values of a warm-up record to its service. Returns false if the
/// service `uid` is not such a record.
bool ReadWarmupRecord(ServiceUid uid,
                      const ServiceSettings& record,
                      RouteTable& table) {
  if (record.name != kWarmupRecord)
    return false;
  ByteReader reader(absl::MakeConstSpan(
      reinterpret_cast<const uint8_t*>(record.health_path.data()),
      record.health_path.size()));
  const auto service = reader.Identity<ServiceUid>();
  const absl::Duration warmup = FromMicroseconds(reader.Number<uint64_t>());
  const auto bits = reader.Number<uint64_t>();
  if (!reader.complete() || WarmupUidOf(service) != uid)
    return false;
  double per_second = 0;
  std::memcpy(&per_second, &bits, sizeof(per_second));
  const auto found = table.services.find(service);
  const bool is_valid = warmup >= absl::ZeroDuration() &&
                        std::isfinite(per_second) && per_second >= 0;
  if (found != table.services.end() && is_valid) {
    found->second.warmup = warmup;
    found->second.warmup_per_second = per_second;
  }
  return true;
}

void WriteRoute(ByteWriter& writer, Endpoint address, const Route& route) {
  writer.Address(address);
  writer.Text(route.name);
  writer.Choice(route.kind);
  writer.Number(route.priority);
  writer.Number(ToMicroseconds(route.deadline));
  writer.Number(ToMicroseconds(route.latency_objective));
  const size_t shares = std::min(route.shares.size(), kMaxShares);
  writer.Number(static_cast<uint8_t>(shares));
  for (size_t i = 0; i < shares; ++i) {
    writer.Identity(route.shares[i].service);
    writer.Number(route.shares[i].weight);
  }
}

void ReadRoute(ByteReader& reader, RouteTable& table) {
  const Endpoint address = reader.Address();
  Route route;
  route.name = reader.Text();
  route.kind = reader.Choice(RequestKind::kDownload);
  route.priority = reader.Number<uint32_t>();
  route.deadline = FromMicroseconds(reader.Number<uint64_t>());
  route.latency_objective = FromMicroseconds(reader.Number<uint64_t>());
  const size_t shares = reader.Number<uint8_t>();
  if (shares == 0 || shares > kMaxShares)
    reader.Fail();
  for (size_t i = 0; i < shares && reader.ok(); ++i) {
    RouteShare share;
    share.service = reader.Identity<ServiceUid>();
    share.weight = reader.Number<uint32_t>();
    route.shares.push_back(share);
  }
  if (reader.ok())
    table.routes[address] = std::move(route);
}

/// Returns pointers to the elements of `map`, sorted by `order` of their keys.
template <typename Map, typename Order>
std::vector<const typename Map::value_type*> Sorted(const Map& map,
                                                    const Order& order) {
  std::vector<const typename Map::value_type*> sorted;
  sorted.reserve(map.size());
  for (const auto& element : map)
    sorted.push_back(&element);
  std::sort(sorted.begin(), sorted.end(), [&order](auto* a, auto* b) {
    return order(a->first) < order(b->first);
  });
  return sorted;
}

}  // namespace

std::string EncodeRouteTable(const RouteTable& table) {
  std::vector<uint8_t> out;
  ByteWriter writer(out);
  writer.Number(kVersion);
  writer.Number(table.version);
  writer.Number(ToMicroseconds(table.idle_timeout));
  absl::flat_hash_map<ServiceUid, ServiceSettings> records = table.services;
  for (const auto& [uid, settings] : table.services) {
    if (HasWarmup(settings))
      records[WarmupUidOf(uid)] = MakeWarmupRecord(uid, settings);
  }
  writer.Number(static_cast<uint32_t>(records.size()));
  const auto by_uid = [](ServiceUid uid) { return ToNumber(uid); };
  for (const auto* service : Sorted(records, by_uid)) {
    writer.Identity(service->first);
    writer.Text(service->second.name);
    writer.Text(service->second.health_path);
    writer.Number(service->second.max_connections);
  }
  writer.Number(static_cast<uint32_t>(table.routes.size()));
  const auto by_address = [](Endpoint address) {
    return std::make_pair(address.address, address.port);
  };
  for (const auto* route : Sorted(table.routes, by_address))
    WriteRoute(writer, route->first, route->second);
  return std::string(out.begin(), out.end());
}

Result<RouteTable> DecodeRouteTable(absl::string_view bytes) {
  ByteReader reader(absl::MakeConstSpan(
      reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()));
  RouteTable table;
  if (reader.Number<uint8_t>() != kVersion)
    reader.Fail();
  table.version = reader.Number<uint64_t>();
  table.idle_timeout = FromMicroseconds(reader.Number<uint64_t>());
  const auto services = reader.Number<uint32_t>();
  for (uint32_t i = 0; i < services && reader.ok(); ++i) {
    const auto uid = reader.Identity<ServiceUid>();
    ServiceSettings settings;
    settings.name = reader.Text();
    settings.health_path = reader.Text();
    settings.max_connections = reader.Number<uint32_t>();
    table.services[uid] = std::move(settings);
  }
  const absl::flat_hash_map<ServiceUid, ServiceSettings> records =
      table.services;
  for (const auto& [uid, record] : records) {
    if (ReadWarmupRecord(uid, record, table))
      table.services.erase(uid);
  }
  const auto routes = reader.Number<uint32_t>();
  for (uint32_t i = 0; i < routes && reader.ok(); ++i)
    ReadRoute(reader, table);
  if (reader.complete())
    return table;
  return MakeError(ErrorKind::kMalformedMessage,
                   "routes of another node are truncated or have surplus bytes",
                   "check that all nodes run compatible releases");
}

}  // namespace skylarkshunt
