#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "skylarkshunt/edge/codec.h"
#include "skylarkshunt/serial/cbor_array.h"

namespace skylarkshunt {
namespace {

Request SampleRequest() {
  Request request;
  request.service = "registre";
  request.kind = "file_report";
  request.flow_id = 0xfedcba9876543210;
  request.request_id = {1, ~uint64_t{0}};
  request.opening = true;
  request.attempt = 3;
  request.deadline_ms = 5000;
  request.binding = Binding{InstanceUid{7}, Incarnation{8}, -9};
  request.body = std::string("\0\xff body", 7);
  return request;
}

class EdgeCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeCodecTest);
  CPPUNIT_TEST(RequestSurvivesTheRoundTrip);
  CPPUNIT_TEST(LargestRequestAndChunkFit);
  CPPUNIT_TEST(TruncatedDatagramsAreRejected);
  CPPUNIT_TEST(OversizedIsRejected);
  CPPUNIT_TEST(OutOfRangeFieldsAreRejected);
  CPPUNIT_TEST(AnswerIsNoRequest);
  CPPUNIT_TEST(RandomBytesDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestSurvivesTheRoundTrip() {
    const Request sent = SampleRequest();
    const auto bytes = EncodeCallerMessage(sent).value();
    const auto received = std::get<Request>(DecodeCallerMessage(bytes).value());
    CPPUNIT_ASSERT_EQUAL(sent.service, received.service);
    CPPUNIT_ASSERT_EQUAL(sent.kind, received.kind);
    CPPUNIT_ASSERT_EQUAL(sent.flow_id, received.flow_id);
    CPPUNIT_ASSERT(sent.request_id == received.request_id);
    CPPUNIT_ASSERT(received.opening);
    CPPUNIT_ASSERT_EQUAL(sent.attempt, received.attempt);
    CPPUNIT_ASSERT_EQUAL(sent.deadline_ms, received.deadline_ms);
    CPPUNIT_ASSERT(sent.binding == received.binding);
    CPPUNIT_ASSERT_EQUAL(sent.body, received.body);
  }

  void LargestRequestAndChunkFit() {
    Request request = SampleRequest();
    request.service = std::string(kMaxNameBytes, 's');
    request.kind = std::string(kMaxNameBytes, 'k');
    request.body = std::string(kMaxRequestBodyBytes, 'b');
    CPPUNIT_ASSERT(EncodeCallerMessage(request).has_value());
    Answer answer;
    answer.binding = Binding{InstanceUid{~uint64_t{0}},
                             Incarnation{~uint64_t{0}}, INT64_MAX};
    answer.body = std::string(kChunkBytes, 'b');
    CPPUNIT_ASSERT(EncodeAnswer(answer).has_value());
  }

  void TruncatedDatagramsAreRejected() {
    const auto bytes = EncodeCallerMessage(SampleRequest()).value();
    for (size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(
          !DecodeCallerMessage(absl::MakeConstSpan(bytes.data(), size))
               .has_value());
    }
  }

  void OversizedIsRejected() {
    Request request = SampleRequest();
    request.body = std::string(kMaxCallerDatagramBytes, 'b');
    CPPUNIT_ASSERT(EncodeCallerMessage(request).error().kind ==
                   ErrorKind::kOversizedMessage);
    const std::vector<uint8_t> large(kMaxCallerDatagramBytes + 1, 0x80);
    CPPUNIT_ASSERT(DecodeCallerMessage(large).error().kind ==
                   ErrorKind::kOversizedMessage);
  }

  void OutOfRangeFieldsAreRejected() {
    Request request = SampleRequest();
    request.body = std::string(kMaxRequestBodyBytes + 1, 'b');
    AssertRejected(request);
    request = SampleRequest();
    request.service = "";
    AssertRejected(request);
    request = SampleRequest();
    request.kind = std::string(kMaxNameBytes + 1, 'k');
    AssertRejected(request);
    request = SampleRequest();
    request.attempt = 0;
    AssertRejected(request);
    request = SampleRequest();
    request.deadline_ms = kMaxDeadlineMs + 1;
    AssertRejected(request);
    Fetch fetch;
    fetch.service = "s";
    fetch.chunk_count = kMaxChunksPerFetch + 1;
    AssertRejected(fetch);
  }

  // Guards against an answer that is sent back in and taken for a request.
  void AnswerIsNoRequest() {
    const auto answer = EncodeAnswer(Answer()).value();
    CPPUNIT_ASSERT(DecodeAnswer(answer).has_value());
    CPPUNIT_ASSERT(!DecodeCallerMessage(answer).has_value());
    const auto request = EncodeCallerMessage(SampleRequest()).value();
    CPPUNIT_ASSERT(!DecodeAnswer(request).has_value());
    Answer beyond;
    beyond.chunk_index = 1;
    CPPUNIT_ASSERT(!DecodeAnswer(EncodeAnswer(beyond).value()).has_value());
  }

  void RandomBytesDoNotCrash() {
    std::mt19937 random(20261204);
    const auto valid = EncodeCallerMessage(SampleRequest()).value();
    for (int i = 0; i < 20000; ++i) {
      std::vector<uint8_t> bytes = valid;
      for (int flips = 0; flips < 3; ++flips)
        bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
      [[maybe_unused]] const bool decoded =
          DecodeCallerMessage(bytes).has_value();
    }
  }

 private:
  void AssertRejected(const CallerMessage& message) {
    const auto bytes = EncodeCallerMessage(message).value();
    CPPUNIT_ASSERT(DecodeCallerMessage(bytes).error().kind ==
                   ErrorKind::kMalformedMessage);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeCodecTest);

}  // namespace
}  // namespace skylarkshunt
