#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "skylarkshunt/link/codec.h"

namespace skylarkshunt {
namespace {

Forward LargestForward() {
  constexpr uint64_t kMax = ~uint64_t{0};
  Request request;
  request.service = std::string(kMaxNameBytes, 's');
  request.kind = std::string(kMaxNameBytes, 'k');
  request.flow_id = kMax;
  request.request_id = {kMax, kMax};
  request.binding = Binding{InstanceUid{kMax}, Incarnation{kMax}, INT64_MAX};
  request.deadline_ms = kMaxDeadlineMs;
  request.body = std::string(kMaxRequestBodyBytes, '\xee');
  Forward forward;
  forward.sender = Incarnation{kMax};
  forward.service = ServiceUid{kMax};
  forward.revision = Revision{kMax};
  forward.caller = Endpoint{0xffffffff, 0xffff};
  forward.entry = Endpoint{0xffffffff, 0xffff};
  for (size_t i = 0; i < kMaxCandidates; ++i) {
    forward.candidates.push_back(Candidate{
        InstanceUid{kMax - i}, Incarnation{kMax}, Endpoint{0xffffffff, 7}});
  }
  forward.position = kMaxCandidates - 1;
  forward.hops = kMaxHops;
  forward.transfer = Transfer{InstanceUid{kMax}, Incarnation{kMax},
                              InstanceUid{kMax}, Incarnation{kMax}};
  forward.message = request;
  return forward;
}

class LinkCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkCodecTest);
  CPPUNIT_TEST(LargestForwardFits);
  CPPUNIT_TEST(ReplySurvivesTheRoundTrip);
  CPPUNIT_TEST(TruncatedDatagramsAreRejected);
  CPPUNIT_TEST(IndicesBeyondTheCandidatesAreRejected);
  CPPUNIT_TEST(RandomBytesDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that the entry accepts and cannot pass on.
  void LargestForwardFits() {
    const Forward sent = LargestForward();
    const auto bytes = EncodeLinkMessage(sent);
    CPPUNIT_ASSERT(bytes.has_value());
    const auto received =
        std::get<Forward>(DecodeLinkMessage(bytes.value()).value());
    CPPUNIT_ASSERT(sent.candidates == received.candidates);
    CPPUNIT_ASSERT(received.caller == sent.caller);
    CPPUNIT_ASSERT(received.transfer->to == sent.transfer->to);
    CPPUNIT_ASSERT_EQUAL(std::get<Request>(sent.message).body,
                         std::get<Request>(received.message).body);
  }

  void ReplySurvivesTheRoundTrip() {
    Reply sent;
    sent.sender_uid = InstanceUid{5};
    sent.caller = Endpoint{1, 2};
    sent.load = 1500;
    sent.answer.outcome = Outcome::kNotRun;
    sent.answer.reason = Reason::kDeadline;
    const auto received = std::get<Reply>(
        DecodeLinkMessage(EncodeLinkMessage(sent).value()).value());
    CPPUNIT_ASSERT(received.sender_uid == sent.sender_uid);
    CPPUNIT_ASSERT(received.caller == sent.caller);
    CPPUNIT_ASSERT_EQUAL(sent.load, received.load);
    CPPUNIT_ASSERT(received.answer.reason == Reason::kDeadline);
  }

  void TruncatedDatagramsAreRejected() {
    const auto bytes = EncodeLinkMessage(LargestForward()).value();
    for (size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeLinkMessage(absl::MakeConstSpan(bytes.data(), size))
                          .has_value());
    }
  }

  void IndicesBeyondTheCandidatesAreRejected() {
    Forward forward = LargestForward();
    forward.candidates.resize(2);
    forward.position = 2;
    CPPUNIT_ASSERT(
        !DecodeLinkMessage(EncodeLinkMessage(forward).value()).has_value());
    forward.candidates.clear();
    forward.position = 0;
    CPPUNIT_ASSERT(
        !DecodeLinkMessage(EncodeLinkMessage(forward).value()).has_value());
  }

  void RandomBytesDoNotCrash() {
    std::mt19937 random(20261204);
    const auto valid = EncodeLinkMessage(LargestForward()).value();
    for (int i = 0; i < 20000; ++i) {
      std::vector<uint8_t> bytes = valid;
      for (int flips = 0; flips < 3; ++flips)
        bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
      [[maybe_unused]] const bool decoded =
          DecodeLinkMessage(bytes).has_value();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkCodecTest);

}  // namespace
}  // namespace skylarkshunt
