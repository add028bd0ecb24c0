#include "skylarkshunt/forwarding/opening_copies.h"

#include <cppunit/extensions/HelperMacros.h>

#include "packets.h"

namespace skylarkshunt {
namespace {

class OpeningCopiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpeningCopiesTest);
  CPPUNIT_TEST(FirstCopyIsKnownUntilTheNextOneIsDue);
  CPPUNIT_TEST(TimeInTheSocketCountsAsAge);
  CPPUNIT_TEST(RetransmissionAloneLeavesAGap);
  CPPUNIT_TEST(AllCopiesAreKnownForTheWholeAttempt);
  CPPUNIT_TEST(NewFlowOfTheSamePortReplacesTheRecord);
  CPPUNIT_TEST(UnrecordedFlowMayHaveOtherCopies);
  CPPUNIT_TEST(RecordsExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry that takes a flow for its own after the client has
  // sent a retransmission, which may have reached another entry.
  void FirstCopyIsKnownUntilTheNextOneIsDue() {
    Receive(0);
    CPPUNIT_ASSERT_EQUAL(uint8_t{1}, copies_.Find(flow_.flow()).received);
    CPPUNIT_ASSERT(copies_.Find(flow_.flow()).first_sent ==
                   kStart - OpeningCopies::kNetworkTime);
    const absl::Duration until_next =
        absl::Milliseconds(200) - OpeningCopies::kNetworkTime;
    CPPUNIT_ASSERT(!MayHaveMissedOneAfter(until_next - absl::Milliseconds(1)));
    CPPUNIT_ASSERT(MayHaveMissedOneAfter(until_next));
  }

  // Guards against a packet that waited in the socket while its client sent
  // the next copy.
  void TimeInTheSocketCountsAsAge() {
    copies_.Record(flow_.Opening(), kStart - absl::Milliseconds(180), kStart);
    CPPUNIT_ASSERT(MayHaveMissedOneAfter(absl::ZeroDuration()));
    // A later copy that waited less bounds the age of the first one.
    copies_.Record(flow_.Opening(1), kStart + absl::Milliseconds(190),
                   kStart + absl::Milliseconds(200));
    CPPUNIT_ASSERT(copies_.Find(flow_.flow()).first_sent ==
                   kStart - absl::Milliseconds(10) -
                       OpeningCopies::kNetworkTime);
    CPPUNIT_ASSERT(!MayHaveMissedOneAfter(absl::Milliseconds(300)));
  }

  // Guards against an entry that received a retransmission only and does not
  // know that another entry has the first copy.
  void RetransmissionAloneLeavesAGap() {
    Receive(1);
    CPPUNIT_ASSERT_EQUAL(uint8_t{2}, copies_.Find(flow_.flow()).received);
    CPPUNIT_ASSERT(MayHaveMissedOneAfter(absl::ZeroDuration()));
    Receive(0);
    CPPUNIT_ASSERT(!MayHaveMissedOneAfter(absl::Milliseconds(100)));
    Receive(2);
    CPPUNIT_ASSERT(!MayHaveMissedOneAfter(absl::Milliseconds(100)));
    const FlowPackets other(1026);
    copies_.Record(other.Opening(0), kStart, kStart);
    copies_.Record(other.Opening(2), kStart, kStart);
    CPPUNIT_ASSERT(copies_.MayHaveMissedOne(other.flow(), kStart));
  }

  void AllCopiesAreKnownForTheWholeAttempt() {
    copies_.Record(flow_.Opening(0), kStart, kStart);
    for (int copy : {1, 2}) {
      const PacketHeader header = flow_.Opening(copy);
      const absl::Time sent = kStart + header.opening_age;
      copies_.Record(header, sent, sent);
    }
    CPPUNIT_ASSERT_EQUAL(uint8_t{7}, copies_.Find(flow_.flow()).received);
    CPPUNIT_ASSERT(!MayHaveMissedOneAfter(absl::Milliseconds(1400)));
  }

  // Guards against copies of an earlier flow that count for the next one with
  // the same addresses and ports.
  void NewFlowOfTheSamePortReplacesTheRecord() {
    Receive(0);
    PacketHeader retransmission = flow_.Opening(1);
    retransmission.sequence = 77;
    copies_.Record(retransmission, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(uint8_t{2}, copies_.Find(flow_.flow()).received);
    CPPUNIT_ASSERT(MayHaveMissedOneAfter(absl::ZeroDuration()));
  }

  // Guards against a full table whose flows count as known.
  void UnrecordedFlowMayHaveOtherCopies() {
    for (size_t i = 0; i < OpeningCopies::kMaxFlows; ++i) {
      const Endpoint service{0xc6120001, static_cast<uint16_t>(i)};
      copies_.Record(FlowPackets(1, service).Opening(), kStart, kStart);
    }
    Receive(0);
    CPPUNIT_ASSERT_EQUAL(OpeningCopies::kMaxFlows, copies_.size());
    CPPUNIT_ASSERT_EQUAL(uint8_t{0}, copies_.Find(flow_.flow()).received);
    CPPUNIT_ASSERT(MayHaveMissedOneAfter(absl::ZeroDuration()));
  }

  void RecordsExpire() {
    Receive(0);
    copies_.Expire(kStart + absl::Milliseconds(1400));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, copies_.size());
    copies_.Expire(kStart + absl::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, copies_.size());
  }

 private:
  void Receive(int copy) {
    copies_.Record(flow_.Opening(copy), kStart, kStart);
  }
  bool MayHaveMissedOneAfter(absl::Duration time) const {
    return copies_.MayHaveMissedOne(flow_.flow(), kStart + time);
  }

  const FlowPackets flow_;
  OpeningCopies copies_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpeningCopiesTest);

}  // namespace
}  // namespace skylarkshunt
