#include <cppunit/extensions/HelperMacros.h>

#include "skylarkshunt/control/codec.h"
#include "skylarkshunt/serial/cbor_array.h"

namespace skylarkshunt {
namespace {

InstanceRecord SampleRecord() {
  InstanceRecord r;
  r.uid = InstanceUid{0xfedcba9876543210};
  r.service = ServiceUid{0x1234567890abcdef};
  r.incarnation = Incarnation{1796361599000};
  r.sequence = 70000;
  r.state = InstanceState::kDraining;
  r.region = "ch-nord";
  r.data_centre = "zh-a";
  r.data = {0x0a000001, 7000};
  r.control = {0x0a000001, 7100};
  r.admin = {0x0a000001, 7001};
  r.target = {0x7f000001, 8080};
  r.slots = 4;
  r.applied = Revision{123456};
  return r;
}

std::vector<ControlMessage> SampleMessages() {
  const ConfigRecord config{"services/dispatch", Revision{9}, false, "{\xff}"};
  Heartbeat heartbeat{SampleRecord(), Revision{8}, "dispatch", {config}};
  HeartbeatAck ack;
  ack.known_state = InstanceState::kDown;
  ack.entries = {SampleRecord()};
  ack.config = {config};
  GossipPush push{SampleRecord(), {SampleRecord()}, {config}, {}};
  for (uint64_t i = 0; i < kDigestBuckets; ++i)
    push.digest.push_back(i * 0x9e3779b97f4a7c15);
  GossipReply reply{SampleRecord(), {SampleRecord()}, {config}, {0, 63}};
  return {heartbeat,
          ack,
          push,
          reply,
          Probe{Incarnation{5}, InstanceUid{6}},
          ProbeReply{Incarnation{5}, InstanceUid{6}, InstanceUid{7}, true}};
}

/// Returns the encoding of `message` after `change` has modified its array.
template <typename Change>
std::vector<uint8_t> Altered(const ControlMessage& message, Change change) {
  const std::vector<uint8_t> bytes = EncodeControlMessage(message).value();
  nlohmann::json value = nlohmann::json::from_cbor(bytes);
  change(value);
  return nlohmann::json::to_cbor(value);
}

bool IsMalformed(const std::vector<uint8_t>& bytes) {
  const Result<ControlMessage> decoded = DecodeControlMessage(bytes);
  return !decoded.has_value() &&
         decoded.error().kind == ErrorKind::kMalformedMessage;
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(EveryMessageSurvivesTheRoundTrip);
  CPPUNIT_TEST(TruncatedMessagesAreRejected);
  CPPUNIT_TEST(OversizedMessagesAreRejected);
  CPPUNIT_TEST(DeeplyNestedMessagesAreRejected);
  CPPUNIT_TEST(WrongTypesAndExtraFieldsAreRejected);
  CPPUNIT_TEST(ValuesOutOfRangeAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that the encoder or the decoder omits.
  void EveryMessageSurvivesTheRoundTrip() {
    for (const ControlMessage& message : SampleMessages()) {
      const std::vector<uint8_t> bytes = EncodeControlMessage(message).value();
      const ControlMessage decoded = DecodeControlMessage(bytes).value();
      CPPUNIT_ASSERT_EQUAL(message.index(), decoded.index());
      CPPUNIT_ASSERT(EncodeControlMessage(decoded).value() == bytes);
    }
    const auto decoded = std::get<Heartbeat>(
        DecodeControlMessage(EncodeControlMessage(SampleMessages()[0]).value())
            .value());
    CPPUNIT_ASSERT_EQUAL(SampleRecord().sequence, decoded.record.sequence);
    CPPUNIT_ASSERT(SampleRecord().target == decoded.record.target);
    CPPUNIT_ASSERT_EQUAL(std::string("{\xff}"), decoded.config[0].body);
  }

  // Guards against reading past the end of a truncated message.
  void TruncatedMessagesAreRejected() {
    for (const ControlMessage& message : SampleMessages()) {
      const std::vector<uint8_t> bytes = EncodeControlMessage(message).value();
      for (size_t size = 0; size < bytes.size(); ++size) {
        CPPUNIT_ASSERT(IsMalformed(std::vector<uint8_t>(
            bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size))));
      }
    }
  }

  // Guards against memory use that a sender controls.
  void OversizedMessagesAreRejected() {
    const std::vector<uint8_t> bytes(kMaxControlMessageBytes + 1);
    CPPUNIT_ASSERT(DecodeControlMessage(bytes).error().kind ==
                   ErrorKind::kOversizedMessage);
    Heartbeat heartbeat;
    heartbeat.config.push_back({"services/a", Revision{1}, false,
                                std::string(kMaxControlMessageBytes, 'x')});
    CPPUNIT_ASSERT(EncodeControlMessage(heartbeat).error().kind ==
                   ErrorKind::kOversizedMessage);
    heartbeat.config[0].body.resize(100 * size_t{1024});
    CPPUNIT_ASSERT(IsMalformed(EncodeControlMessage(heartbeat).value()));
  }

  // Guards against stack exhaustion by a sender: the parser recurses into each
  // nested array.
  void DeeplyNestedMessagesAreRejected() {
    constexpr uint8_t kEmptyArray = 0x80;
    constexpr uint8_t kArrayOfOne = 0x81;
    for (size_t size = 1; size <= kMaxControlMessageBytes; size *= 2) {
      std::vector<uint8_t> bytes(size, kArrayOfOne);
      CPPUNIT_ASSERT(IsMalformed(bytes));
      bytes.back() = kEmptyArray;
      CPPUNIT_ASSERT(IsMalformed(bytes));
    }
  }

  // Guards against accepting a message of another protocol or release.
  void WrongTypesAndExtraFieldsAreRejected() {
    for (const ControlMessage& message : SampleMessages()) {
      const size_t fields =
          nlohmann::json::from_cbor(EncodeControlMessage(message).value())
              .size();
      CPPUNIT_ASSERT(
          IsMalformed(Altered(message, [](auto& v) { v.push_back(1); })));
      CPPUNIT_ASSERT(IsMalformed(
          Altered(message, [](auto& v) { v.erase(v.size() - 1); })));
      for (size_t i = 0; i < fields; ++i) {
        CPPUNIT_ASSERT(
            IsMalformed(Altered(message, [i](auto& v) { v[i] = -1.5; })));
      }
    }
    const ControlMessage heartbeat = SampleMessages()[0];
    CPPUNIT_ASSERT(
        IsMalformed(Altered(heartbeat, [](auto& v) { v[2].push_back(1); })));
    CPPUNIT_ASSERT(
        IsMalformed(Altered(heartbeat, [](auto& v) { v[5][0][1] = "x"; })));
    CPPUNIT_ASSERT(IsMalformed(Altered(heartbeat, [](auto& v) { v[0] = 2; })));
    CPPUNIT_ASSERT(IsMalformed(Altered(heartbeat, [](auto& v) { v[1] = 7; })));
  }

  // Guards against states, roles and buckets that index out of range, and
  // against endpoints, names and digests beyond their bounds.
  void ValuesOutOfRangeAreRejected() {
    const std::vector<ControlMessage> messages = SampleMessages();
    CPPUNIT_ASSERT(
        IsMalformed(Altered(messages[0], [](auto& v) { v[2][5] = 5; })));
    CPPUNIT_ASSERT(
        IsMalformed(Altered(messages[0], [](auto& v) { v[2][1] = 2; })));
    CPPUNIT_ASSERT(IsMalformed(
        Altered(messages[0], [](auto& v) { v[2][8] = uint64_t{1} << 48; })));
    CPPUNIT_ASSERT(IsMalformed(
        Altered(messages[0], [](auto& v) { v[2][6] = std::string(65, 'r'); })));
    CPPUNIT_ASSERT(
        IsMalformed(Altered(messages[3], [](auto& v) { v[5][0] = 64; })));
    CPPUNIT_ASSERT(IsMalformed(Altered(messages[2], [](auto& v) {
      v[5] = nlohmann::json::binary(std::vector<uint8_t>(511));
    })));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace skylarkshunt
