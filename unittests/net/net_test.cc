#include <cppunit/extensions/HelperMacros.h>

#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"

namespace skylarkshunt {
namespace {

const Endpoint kAnyPort{0x7f000001, 0};

class NetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NetTest);
  CPPUNIT_TEST(TakenPortIsNamed);
  CPPUNIT_TEST(OversizedDatagramKeepsItsExcess);
  CPPUNIT_TEST(ReceiveGoesOnAfterARefusedSend);
  CPPUNIT_TEST(WakeupEndsAWait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakenPortIsNamed() {
    UdpSocket socket = UdpSocket::Bind(kAnyPort).value();
    Result<UdpSocket> second = UdpSocket::Bind(socket.local());
    CPPUNIT_ASSERT(!second.has_value());
    CPPUNIT_ASSERT(second.error().kind == ErrorKind::kAddressInUse);
  }

  // Guards against a cut datagram that decodes as a shorter valid one.
  void OversizedDatagramKeepsItsExcess() {
    UdpSocket a = UdpSocket::Bind(kAnyPort).value();
    UdpSocket b = UdpSocket::Bind(kAnyPort).value();
    const std::vector<uint8_t> large(5000, 1);
    CPPUNIT_ASSERT(a.Send(b.local(), large));
    CPPUNIT_ASSERT(WaitReadable({b.fd()}, absl::Seconds(10)));
    CPPUNIT_ASSERT_EQUAL(UdpSocket::kMaxDatagramBytes + 1,
                         b.Receive()->bytes.size());
  }

  // Guards against a dead peer's ICMP answer that stops the reading.
  void ReceiveGoesOnAfterARefusedSend() {
    UdpSocket a = UdpSocket::Bind(kAnyPort).value();
    UdpSocket b = UdpSocket::Bind(kAnyPort).value();
    const Endpoint closed = UdpSocket::Bind(kAnyPort).value().local();
    const std::vector<uint8_t> small(1, 1);
    a.Send(closed, small);
    CPPUNIT_ASSERT(b.Send(a.local(), small));
    CPPUNIT_ASSERT(WaitReadable({a.fd()}, absl::Seconds(10)));
    CPPUNIT_ASSERT(a.Receive().has_value());
  }

  void WakeupEndsAWait() {
    Wakeup wakeup = Wakeup::Create().value();
    CPPUNIT_ASSERT(!WaitReadable({wakeup.fd()}, absl::ZeroDuration()));
    wakeup.Notify();
    CPPUNIT_ASSERT(WaitReadable({wakeup.fd()}, absl::Seconds(10)));
    wakeup.Drain();
    CPPUNIT_ASSERT(!WaitReadable({wakeup.fd()}, absl::ZeroDuration()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetTest);

}  // namespace
}  // namespace skylarkshunt
