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
  table.services[service] = {"dispatch", "/health", 2000};
  table.services[MakeServiceUid("schemata")] = {"schemata", "", 0};
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableCodecTest);

}  // namespace
}  // namespace skylarkshunt
