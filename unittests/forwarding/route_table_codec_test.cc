#include "skylarkshunt/forwarding/route_table_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

RouteTable Table(uint32_t routes) {
  RouteTable table;
  table.version = 26;
  table.idle_timeout = absl::Seconds(12);
  const ServiceUid service = MakeServiceUid("dispatch");
  table.services[service] = {"dispatch", "/health", 2000, absl::ZeroDuration(),
                             0};
  table.services[MakeServiceUid("schemata")] = {"schemata", "", 0,
                                                absl::ZeroDuration(), 0};
  for (uint32_t i = 0; i < routes; ++i) {
    Route route;
    route.name = absl::StrCat("route-", i);
    route.shares = {{service, 3}, {MakeServiceUid("schemata"), i}};
    route.kind = RequestKind::kDownload;
    route.deadline =
        i == 0 ? absl::InfiniteDuration() : absl::Milliseconds(2500 + i);
    route.latency_objective = absl::Milliseconds(150);
    route.priority = i;
    table.routes[{0xc6120000 + i, 443}] = route;
  }
  return table;
}

class RouteTableCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableCodecTest);
  CPPUNIT_TEST(TableSurvivesARoundTrip);
  CPPUNIT_TEST(SameTableGivesTheSameBytes);
  CPPUNIT_TEST(DamagedBytesAreRejected);
  CPPUNIT_TEST(WarmupsSurviveARoundTrip);
  CPPUNIT_TEST(PreviousReleaseReadsWarmupsAsServices);
  CPPUNIT_TEST(ForeignWarmupRecordsStayServices);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TableSurvivesARoundTrip() {
    const RouteTable table = Table(40);
    const RouteTable read = DecodeRouteTable(EncodeRouteTable(table)).value();
    CPPUNIT_ASSERT_EQUAL(table.version, read.version);
    CPPUNIT_ASSERT(table.idle_timeout == read.idle_timeout);
    CPPUNIT_ASSERT_EQUAL(table.services.size(), read.services.size());
    const ServiceSettings& settings =
        read.services.at(MakeServiceUid("dispatch"));
    CPPUNIT_ASSERT_EQUAL(std::string("dispatch"), settings.name);
    CPPUNIT_ASSERT_EQUAL(std::string("/health"), settings.health_path);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2000}, settings.max_connections);
    CPPUNIT_ASSERT_EQUAL(table.routes.size(), read.routes.size());
    for (const auto& [address, route] : table.routes) {
      const Route* other = read.Find(address);
      CPPUNIT_ASSERT(other != nullptr);
      CPPUNIT_ASSERT_EQUAL(route.name, other->name);
      CPPUNIT_ASSERT(route.kind == other->kind);
      CPPUNIT_ASSERT(route.deadline == other->deadline);
      CPPUNIT_ASSERT(route.latency_objective == other->latency_objective);
      CPPUNIT_ASSERT_EQUAL(route.priority, other->priority);
      CPPUNIT_ASSERT_EQUAL(route.shares.size(), other->shares.size());
      for (size_t i = 0; i < route.shares.size(); ++i) {
        CPPUNIT_ASSERT(route.shares[i].service == other->shares[i].service);
        CPPUNIT_ASSERT_EQUAL(route.shares[i].weight, other->shares[i].weight);
      }
    }
  }

  // Guards against parts of one document from several nodes that do not match
  // because the order of a hash table differs between processes.
  void SameTableGivesTheSameBytes() {
    RouteTable table = Table(200);
    RouteTable other;
    other.version = table.version;
    other.idle_timeout = table.idle_timeout;
    other.routes.reserve(4096);
    other.routes.insert(table.routes.begin(), table.routes.end());
    other.services.insert(table.services.begin(), table.services.end());
    CPPUNIT_ASSERT(EncodeRouteTable(table) == EncodeRouteTable(other));
  }

  // Guards against a truncated configuration that is accepted as complete, and
  // against a malformed one that ends the process.
  void DamagedBytesAreRejected() {
    const std::string bytes = EncodeRouteTable(Table(3));
    for (size_t size = 0; size < bytes.size(); ++size)
      CPPUNIT_ASSERT(!DecodeRouteTable(bytes.substr(0, size)).has_value());
    CPPUNIT_ASSERT(!DecodeRouteTable(bytes + "x").has_value());
    std::string damaged = bytes;
    for (char& byte : damaged) {
      const char before = byte;
      byte = static_cast<char>(byte ^ 0xff);
      // The bytes are rejected or decode to another table.
      const Result<RouteTable> read = DecodeRouteTable(damaged);
      CPPUNIT_ASSERT(!read.has_value() || read.value().routes.size() <= 3);
      byte = before;
    }
  }

  void WarmupsSurviveARoundTrip() {
    const RouteTable table = TableWithWarmup();
    const RouteTable read = DecodeRouteTable(EncodeRouteTable(table)).value();
    CPPUNIT_ASSERT_EQUAL(table.services.size(), read.services.size());
    const ServiceSettings& warm = read.services.at(MakeServiceUid("dispatch"));
    CPPUNIT_ASSERT(warm.warmup == absl::Milliseconds(7500));
    CPPUNIT_ASSERT_EQUAL(0.1, warm.warmup_per_second);
    CPPUNIT_ASSERT_EQUAL(std::string("/health"), warm.health_path);
    const ServiceSettings& other = read.services.at(MakeServiceUid("schemata"));
    CPPUNIT_ASSERT(other.warmup == absl::ZeroDuration());
    CPPUNIT_ASSERT_EQUAL(0.0, other.warmup_per_second);
    CPPUNIT_ASSERT(EncodeRouteTable(read) == EncodeRouteTable(table));
    const std::string bytes = EncodeRouteTable(table);
    for (size_t size = 0; size < bytes.size(); ++size)
      CPPUNIT_ASSERT(!DecodeRouteTable(bytes.substr(0, size)).has_value());
  }

  // Guards against nodes of the previous release that reject the configuration
  // of a fleet with warm-ups. They know the layout without warm-ups, in which
  // the values are an additional service that no route uses.
  void PreviousReleaseReadsWarmupsAsServices() {
    const std::string bytes = EncodeRouteTable(TableWithWarmup());
    CPPUNIT_ASSERT_EQUAL(char{1}, bytes[0]);
    constexpr size_t kServicesAt = 17;
    CPPUNIT_ASSERT_EQUAL(char{3}, bytes[kServicesAt]);
    const auto number = [&bytes](size_t at) {
      return static_cast<uint8_t>(bytes.at(at)) +
             256 * static_cast<size_t>(static_cast<uint8_t>(bytes.at(at + 1)));
    };
    size_t at = kServicesAt + 4;
    for (int service = 0; service < 3; ++service) {
      at += 8;
      at += 2 + number(at);
      at += 2 + number(at);
      at += 4;
    }
    // The number of routes follows, and the routes are those of a table without
    // warm-ups.
    const std::string plain = EncodeRouteTable(Table(3));
    CPPUNIT_ASSERT_EQUAL(char{3}, bytes.at(at));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, plain.find("warmup"));
    CPPUNIT_ASSERT(plain.substr(plain.size() - (bytes.size() - at)) ==
                   bytes.substr(at));
  }

  // Guards against a service of the operator that is lost since its name is the
  // one of the records.
  void ForeignWarmupRecordsStayServices() {
    RouteTable table = Table(1);
    for (const char* path : {"", "/health", "0123456701234567012345670"}) {
      const ServiceUid uid = MakeServiceUid("skylarkshunt-warmup");
      table.services[uid].name = "skylarkshunt-warmup";
      table.services[uid].health_path = path;
      const RouteTable read = DecodeRouteTable(EncodeRouteTable(table)).value();
      CPPUNIT_ASSERT_EQUAL(std::string(path),
                           read.services.at(uid).health_path);
    }
  }

 private:
  static RouteTable TableWithWarmup() {
    RouteTable table = Table(3);
    ServiceSettings& settings = table.services.at(MakeServiceUid("dispatch"));
    settings.warmup = absl::Milliseconds(7500);
    settings.warmup_per_second = 0.1;
    return table;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableCodecTest);

}  // namespace
}  // namespace skylarkshunt
