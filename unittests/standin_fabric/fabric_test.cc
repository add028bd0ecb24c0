#include "standins/fabric/fabric.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace skylarkshunt {
namespace {

constexpr Endpoint kAnyPort{0x7f000001, 0};
constexpr absl::Duration kLimit = absl::Seconds(10);
const std::vector<uint8_t> kPing = {1, 2, 3};

absl::optional<Endpoint> ReceiveFrom(UdpSocket* socket) {
  if (!WaitReadable({socket->fd()}, kLimit))
    return absl::nullopt;
  const auto datagram = socket->Receive();
  if (!datagram)
    return absl::nullopt;
  return datagram->source;
}

class FabricTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FabricTest);
  CPPUNIT_TEST(AnswersComeFromTheFabricToTheirOwnCaller);
  CPPUNIT_TEST(OldestCallerMakesRoom);
  CPPUNIT_TEST(FaultsKeepToTheirShares);
  CPPUNIT_TEST(CutsGoOneWay);
  CPPUNIT_TEST(BadControlBodiesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer that reaches another caller, or comes from an
  // address that the caller does not know.
  void AnswersComeFromTheFabricToTheirOwnCaller() {
    auto fabric = Fabric::Start({}).value();
    UdpSocket entry = UdpSocket::Bind(kAnyPort).value();
    fabric->SetEntries({entry.local()});
    UdpSocket first = UdpSocket::Bind(kAnyPort).value();
    UdpSocket second = UdpSocket::Bind(kAnyPort).value();
    for (UdpSocket* caller : {&first, &second}) {
      caller->Send(fabric->address(), kPing);
      const auto source = ReceiveFrom(&entry);
      CPPUNIT_ASSERT(source.has_value());
      entry.Send(*source, kPing);
      CPPUNIT_ASSERT(ReceiveFrom(caller) == fabric->address());
    }
    CPPUNIT_ASSERT(!first.Receive().has_value());
  }

  // Guards against a table of callers that grows without bound.
  void OldestCallerMakesRoom() {
    Fabric::Options options;
    options.max_callers = 2;
    auto fabric = Fabric::Start(options).value();
    UdpSocket entry = UdpSocket::Bind(kAnyPort).value();
    fabric->SetEntries({entry.local()});
    std::vector<UdpSocket> callers;
    for (int i = 0; i < 3; ++i) {
      callers.push_back(UdpSocket::Bind(kAnyPort).value());
      callers.back().Send(fabric->address(), kPing);
      CPPUNIT_ASSERT(ReceiveFrom(&entry).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, fabric->Counts().replaced_callers);
  }

  void FaultsKeepToTheirShares() {
    Sprayer sprayer(Sprayer::Pick::kRandom, 5);
    FabricFaults faults;
    faults.loss = 0.1;
    faults.duplicate = 0.2;
    faults.reorder = 0.3;
    sprayer.SetFaults(faults);
    constexpr int kDraws = 20000;
    std::map<size_t, int> copies;
    int delayed = 0;
    int sent = 0;
    for (int i = 0; i < kDraws; ++i) {
      const auto fate = sprayer.FateTo(kAnyPort);
      ++copies[fate.size()];
      for (absl::Duration delay : fate) {
        ++sent;
        delayed += delay == faults.delay ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, copies[0] / double{kDraws}, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.18, copies[2] / double{kDraws}, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, static_cast<double>(delayed) / sent,
                                 0.02);
  }

  void CutsGoOneWay() {
    const Endpoint a{1, 1};
    const Endpoint b{2, 2};
    Sprayer sprayer(Sprayer::Pick::kRoundRobin, 1);
    sprayer.SetEntries({a, b});
    CPPUNIT_ASSERT(sprayer.Next() == a);
    CPPUNIT_ASSERT(sprayer.Next() == b);
    FabricFaults faults;
    faults.cut = {a};
    faults.cut_return = {b};
    sprayer.SetFaults(faults);
    CPPUNIT_ASSERT(sprayer.FateTo(a).empty());
    CPPUNIT_ASSERT(!sprayer.FateFrom(a).empty());
    CPPUNIT_ASSERT(!sprayer.FateTo(b).empty());
    CPPUNIT_ASSERT(sprayer.FateFrom(b).empty());
  }

  // Guards against a test that believes in a fault it mistyped.
  void BadControlBodiesAreRefused() {
    CPPUNIT_ASSERT(ParseFabricFaults(R"({"loss":0.5,"cut":["1.2.3.4:5"]})"));
    for (const char* bad :
         {"", "[]", R"({"loss":2})", R"({"los":0.1})", R"({"cut":["x"]})"}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseFabricFaults(bad));
    }
    CPPUNIT_ASSERT(
        !ParseFabricEntries(R"({"entries":["1.2.3.4:5"],"admin":[]})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FabricTest);

}  // namespace
}  // namespace skylarkshunt
