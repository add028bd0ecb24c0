#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <random>
#include <string>
#include <vector>

#include "daemon_fixture.h"
#include "skylarkshunt/net/udp_socket.h"

namespace skylarkshunt {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitSettings = 3;
constexpr int kExitAddressInUse = 4;
constexpr int kExitForced = 6;
constexpr unsigned kSeed = 20261204;

class DaemonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonTest);
  CPPUNIT_TEST(BadSettingsAreNamed);
  CPPUNIT_TEST(TakenAddressesAreNamed);
  CPPUNIT_TEST(BadDatagramsDoNoHarm);
  CPPUNIT_TEST(LeavingEntryEndsWithZero);
  CPPUNIT_TEST(SecondSignalEndsAtOnce);
  CPPUNIT_TEST(AgentWithoutServiceEndsWithZero);
  CPPUNIT_TEST(RejectedReloadChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BadSettingsAreNamed() {
    nlohmann::json settings = EntrySettings(kClosedAddress);
    settings["regoin"] = "ch-nord";
    Daemon daemon(settings);
    CPPUNIT_ASSERT_EQUAL(kExitSettings,
                         daemon.process().WaitForExit(kLimit).value_or(-1));
    CPPUNIT_ASSERT_EQUAL(std::string(), daemon.process().ReadAll(kLimit));
    CPPUNIT_ASSERT(daemon.LogHas("invalid_settings"));
    CPPUNIT_ASSERT(daemon.LogHas("regoin"));
  }

  // Guards against two processes that share an address, each with a part of the
  // traffic.
  void TakenAddressesAreNamed() {
    Daemon first(EntrySettings(kClosedAddress));
    first.AwaitReady();
    for (const std::string name : {"data", "control", "admin"}) {
      nlohmann::json settings = EntrySettings(kClosedAddress);
      settings[name] = first.address(name).ToString();
      Daemon second(settings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          name, kExitAddressInUse,
          second.process().WaitForExit(kLimit).value_or(-1));
      CPPUNIT_ASSERT_MESSAGE(name, second.LogHas("SKS1002 start_failed"));
      CPPUNIT_ASSERT_MESSAGE(name,
                             second.LogHas(first.address(name).ToString()));
    }
  }

  void BadDatagramsDoNoHarm() {
    Daemon entry(EntrySettings(kClosedAddress));
    Daemon agent(AgentSettings(kClosedAddress, kClosedAddress));
    UdpSocket socket = UdpSocket::Bind(kAnyPort).value();
    for (Daemon* daemon : {&entry, &agent}) {
      daemon->AwaitReady();
      const uint64_t sent = SendNoise(socket, daemon->address("data"));
      CPPUNIT_ASSERT(WaitFor([&] { return Malformed(*daemon) == sent; }));
      CPPUNIT_ASSERT_EQUAL(200, daemon->Ask("/healthz"));
    }
    CPPUNIT_ASSERT_MESSAGE("a malformed datagram was answered",
                           !socket.Receive().has_value());
  }

  void LeavingEntryEndsWithZero() {
    Daemon entry(EntrySettings(kClosedAddress));
    entry.AwaitReady();
    CPPUNIT_ASSERT_EQUAL(200, entry.Ask("/healthz"));
    entry.process().Stop();
    CPPUNIT_ASSERT(WaitFor([&] { return entry.Ask("/healthz") != 200; }));
    CPPUNIT_ASSERT_EQUAL(503, entry.Ask("/healthz"));
    CPPUNIT_ASSERT_EQUAL(kExitOk,
                         entry.process().WaitForExit(kLimit).value_or(-1));
    CPPUNIT_ASSERT(entry.LogHas("SKS1004 process_ended"));
  }

  void SecondSignalEndsAtOnce() {
    Daemon entry(EntrySettings(kClosedAddress));
    entry.AwaitReady();
    entry.process().Stop();
    CPPUNIT_ASSERT(
        WaitFor([&] { return entry.LogHas("SKS1003 shutdown_began"); }));
    entry.process().Stop();
    CPPUNIT_ASSERT_EQUAL(kExitForced,
                         entry.process().WaitForExit(kLimit).value_or(-1));
  }

  // Guards against an agent that waits for work it can never get.
  void AgentWithoutServiceEndsWithZero() {
    Daemon agent(AgentSettings(kClosedAddress, kClosedAddress));
    agent.AwaitReady();
    agent.process().Stop();
    CPPUNIT_ASSERT_EQUAL(kExitOk,
                         agent.process().WaitForExit(kLimit).value_or(-1));
  }

  void RejectedReloadChangesNothing() {
    nlohmann::json settings = EntrySettings(kClosedAddress);
    Daemon entry(settings);
    entry.AwaitReady();
    entry.WriteSettings("{\"role\":");
    entry.Signal(SIGHUP);
    CPPUNIT_ASSERT(
        WaitFor([&] { return entry.LogHas("SKS1007 settings_rejected"); }));
    settings["established_log_rate"] = 7;
    entry.WriteSettings(settings.dump());
    entry.Signal(SIGHUP);
    CPPUNIT_ASSERT(
        WaitFor([&] { return entry.LogHas("established_log_rate=7"); }));
    CPPUNIT_ASSERT_EQUAL(200, entry.Ask("/healthz"));
  }

 private:
  /// Sends datagrams that are empty, random, oversized or cut; returns how
  /// many.
  static uint64_t SendNoise(const UdpSocket& socket, Endpoint to) {
    std::mt19937 random(kSeed);
    uint64_t sent = 0;
    for (const size_t size : {0, 1, 2, 17, 100, 1199, 1200, 1201, 1473, 9000}) {
      std::vector<uint8_t> bytes(size);
      for (uint8_t& byte : bytes)
        byte = static_cast<uint8_t>(random());
      CPPUNIT_ASSERT(socket.Send(to, bytes));
      ++sent;
    }
    // The beginnings of a CBOR map and array whose rest is missing.
    for (const std::vector<uint8_t>& cut :
         {std::vector<uint8_t>{0xa9, 0x00}, std::vector<uint8_t>{0x9f},
          std::vector<uint8_t>{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff,
                               0xff},
          std::vector<uint8_t>(900, 0x81)}) {
      CPPUNIT_ASSERT(socket.Send(to, cut));
      ++sent;
    }
    return sent;
  }

  static uint64_t Malformed(const Daemon& daemon) {
    std::string text;
    daemon.Ask("/metrics", &text);
    uint64_t sum = 0;
    const std::string name = "\nskylarkshunt_malformed_datagrams_total{";
    for (size_t at = text.find(name); at != std::string::npos;
         at = text.find(name, at + 1)) {
      sum += std::stoull(text.substr(text.find("} ", at) + 2));
    }
    return sum;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);

}  // namespace
}  // namespace skylarkshunt
