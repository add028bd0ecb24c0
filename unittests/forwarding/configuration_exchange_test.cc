#include "skylarkshunt/forwarding/configuration_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace skylarkshunt {
namespace {

using Outcome = ConfigurationExchange::Outcome;

constexpr uint32_t kFirst = 0x0a010001;
constexpr size_t kRegularReceivers = 8;
const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

ConfigurationId Id(uint64_t version, uint16_t epoch, uint64_t count) {
  return {version, MakeRevision(Epoch{epoch}, count)};
}

NodeDirectory DirectoryOf(uint32_t nodes) {
  NodeDirectory directory(Role::kEntry, kFirst - 1, EntryReportInterval(0), {},
                          kStart);
  for (uint32_t i = 0; i < nodes; ++i)
    directory.RecordMessage({kFirst + i, Role::kAgent}, kStart);
  return directory;
}

class ConfigurationExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationExchangeTest);
  CPPUNIT_TEST(VersionOrdersBeforeTheRevision);
  CPPUNIT_TEST(NodesThatAreBehindAreAnswered);
  CPPUNIT_TEST(EachNodeGetsARegularReport);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that follows a peer which read an older version from
  // a restored store, and against one that does not follow a change since its
  // revision was given out before.
  void VersionOrdersBeforeTheRevision() {
    ConfigurationExchange exchange(kRegularReceivers);
    NodeDirectory nodes = DirectoryOf(1);
    exchange.SetHeld(Id(13, 1, 20), nodes, kStart);
    CPPUNIT_ASSERT(On(exchange, Id(10, 2, 18)) == Outcome::kOlder);
    CPPUNIT_ASSERT(On(exchange, Id(16, 2, 20)) == Outcome::kNewer);
    // The operator has written the lost version again.
    CPPUNIT_ASSERT(On(exchange, Id(13, 2, 19)) == Outcome::kNewer);
    CPPUNIT_ASSERT(On(exchange, Id(13, 1, 20)) == Outcome::kEqual);
    // A store that does not report epochs.
    CPPUNIT_ASSERT(On(exchange, Id(14, 0, 3)) == Outcome::kNewer);
  }

  // Guards against a node without a configuration that waits for the next
  // change, since the report of the last one was lost.
  void NodesThatAreBehindAreAnswered() {
    ConfigurationExchange started(kRegularReceivers);
    ConfigurationExchange exchange(kRegularReceivers);
    NodeDirectory nodes = DirectoryOf(3);
    CPPUNIT_ASSERT(exchange.OnReport(started.MakeReport()) == Outcome::kEqual);
    CPPUNIT_ASSERT_EQUAL(size_t{3},
                         exchange.SetHeld(Id(1, 1, 9), nodes, kStart).size());
    CPPUNIT_ASSERT(exchange.OnReport(started.MakeReport()) == Outcome::kOlder);
    CPPUNIT_ASSERT(started.OnReport(exchange.MakeReport()) == Outcome::kNewer);
  }

  // Guards against a node that no regular report reaches in a large fleet.
  void EachNodeGetsARegularReport() {
    constexpr uint32_t kNodes = 300;
    ConfigurationExchange exchange(kRegularReceivers);
    const NodeDirectory nodes = DirectoryOf(kNodes);
    std::set<uint32_t> reached;
    for (size_t i = 0; i < (kNodes + kRegularReceivers - 1) / kRegularReceivers;
         ++i) {
      const std::vector<uint32_t> receivers =
          exchange.NextReceivers(nodes, kStart);
      CPPUNIT_ASSERT_EQUAL(kRegularReceivers, receivers.size());
      reached.insert(receivers.begin(), receivers.end());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{kNodes}, reached.size());
  }

 private:
  static Outcome On(const ConfigurationExchange& exchange,
                    const ConfigurationId& held) {
    return exchange.OnReport({held});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationExchangeTest);

}  // namespace
}  // namespace skylarkshunt
