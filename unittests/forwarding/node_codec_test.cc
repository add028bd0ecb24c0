#include "skylarkshunt/forwarding/node_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "packets.h"

namespace skylarkshunt {
namespace {

AgentIdentity MakeIdentity() {
  return {InstanceUid{0x1122334455667788}, Incarnation{99}, ServiceUid{7}, 3};
}

std::vector<NodeMessage> OneOfEach() {
  AgentReport agent;
  agent.agent = MakeIdentity();
  agent.sequence = 4;
  agent.load = {4, 2, 17, 25'000, 310, InstanceState::kDraining};
  EntryReport entry;
  entry.uid = InstanceUid{5};
  entry.leaving = true;
  entry.nodes = {{0x0a010203, Role::kEntry}, {0x0a010204, Role::kAgent}};
  ForwardedPacket forwarded;
  forwarded.mode = ForwardMode::kSearch;
  forwarded.priority = 1;
  forwarded.known_only = true;
  forwarded.objective_ms = 150;
  forwarded.declined = {InstanceUid{1}, InstanceUid{2}};
  forwarded.packet = kPacketBytes;
  ReturnedPacket returned;
  returned.agent = MakeIdentity();
  returned.reason = ReturnReason::kTargetUnresponsive;
  returned.packet = kPacketBytes;
  FlowPlaced placed;
  placed.agent = MakeIdentity();
  placed.flow = FlowPackets().flow();
  RefusalReport refusals;
  refusals.data_centre = 3;
  refusals.requests = {{0x64400007, {0xc6120001, 443}, 250, 1}};
  FlowQuery query;
  query.flow = FlowPackets().flow();
  query.acknowledges = true;
  query.acknowledged = 9001;
  QueryAnswer answer;
  answer.agent = MakeIdentity();
  answer.load = agent.load;
  answer.flow = FlowPackets().flow();
  answer.outcome = QueryAnswer::Outcome::kNotHeld;
  ConfigurationReport configuration;
  configuration.held = {16, MakeRevision(Epoch{2}, 20)};
  return {agent,    entry, forwarded, returned,     placed,
          refusals, query, answer,    configuration};
}

class NodeCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeCodecTest);
  CPPUNIT_TEST(MessagesSurviveARoundTrip);
  CPPUNIT_TEST(PendingWorkSharesTheNumberOfFlows);
  CPPUNIT_TEST(TruncatedMessagesAreRejected);
  CPPUNIT_TEST(SurplusBytesAndOtherVersionsAreRejected);
  CPPUNIT_TEST(RefusalReportIsBounded);
  CPPUNIT_TEST(QueriesAndAnswersKeepTheirMeaning);
  CPPUNIT_TEST(UnknownOutcomeIsRejected);
  CPPUNIT_TEST(RandomBytesDoNotCrashTheDecoder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesSurviveARoundTrip() {
    for (const NodeMessage& message : OneOfEach()) {
      std::vector<uint8_t> first;
      EncodeNodeMessage(message, first);
      const Result<NodeMessage> read = DecodeNodeMessage(first);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT_EQUAL(message.index(), read.value().index());
      std::vector<uint8_t> second;
      EncodeNodeMessage(read.value(), second);
      CPPUNIT_ASSERT(first == second);
    }
    std::vector<uint8_t> bytes;
    EncodeNodeMessage(OneOfEach()[0], bytes);
    const NodeMessage read = DecodeNodeMessage(bytes).value();
    const auto& report = std::get<AgentReport>(read);
    CPPUNIT_ASSERT_EQUAL(uint32_t{25'000}, report.load.service_time_us);
    CPPUNIT_ASSERT_EQUAL(uint16_t{310}, report.load.failing_permille);
    CPPUNIT_ASSERT(report.load.state == InstanceState::kDraining);
  }

  // Nodes of two releases. Guards against a number of flows of the previous one
  // that reads as pending work, and against values that overflow their half.
  void PendingWorkSharesTheNumberOfFlows() {
    const auto transmit = [](uint32_t flows, uint32_t pending_us) {
      FlowPlaced placed;
      placed.load.open_flows = flows;
      placed.load.pending_work_us = pending_us;
      std::vector<uint8_t> bytes;
      EncodeNodeMessage(placed, bytes);
      return std::get<FlowPlaced>(DecodeNodeMessage(bytes).value()).load;
    };
    CPPUNIT_ASSERT_EQUAL(uint32_t{32'768}, transmit(32'768, 0).open_flows);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, transmit(32'768, 0).pending_work_us);
    CPPUNIT_ASSERT_EQUAL(uint32_t{17}, transmit(17, 25'700).open_flows);
    CPPUNIT_ASSERT_EQUAL(uint32_t{25'664},
                         transmit(17, 25'700).pending_work_us);
    CPPUNIT_ASSERT_EQUAL(uint32_t{64}, transmit(17, 1).pending_work_us);
    CPPUNIT_ASSERT_EQUAL(uint32_t{65'535 * 64},
                         transmit(17, 0xffffffff).pending_work_us);
    CPPUNIT_ASSERT_EQUAL(uint32_t{65'535}, transmit(70'000, 64).open_flows);
  }

  void TruncatedMessagesAreRejected() {
    for (const NodeMessage& message : OneOfEach()) {
      std::vector<uint8_t> bytes;
      EncodeNodeMessage(message, bytes);
      // The packet at the end of two messages may have any length.
      const size_t packet =
          std::holds_alternative<ForwardedPacket>(message) ||
                  std::holds_alternative<ReturnedPacket>(message)
              ? kPacketBytes.size()
              : 0;
      for (size_t size = 0; size + packet < bytes.size(); ++size) {
        CPPUNIT_ASSERT(
            !DecodeNodeMessage(absl::MakeConstSpan(bytes.data(), size))
                 .has_value());
      }
    }
  }

  void SurplusBytesAndOtherVersionsAreRejected() {
    std::vector<uint8_t> bytes;
    EncodeNodeMessage(OneOfEach()[0], bytes);
    bytes.push_back(0);
    CPPUNIT_ASSERT(!DecodeNodeMessage(bytes).has_value());
    EncodeNodeMessage(OneOfEach()[0], bytes);
    bytes[0] = 200;
    CPPUNIT_ASSERT(!DecodeNodeMessage(bytes).has_value());
    bytes[0] = 1;
    bytes[1] = 200;
    CPPUNIT_ASSERT(!DecodeNodeMessage(bytes).has_value());
  }

  // Guards against a report of more refusals than its reader allocates for.
  void RefusalReportIsBounded() {
    RefusalReport refusals;
    refusals.requests.resize(3 * kMaxRefusedRequests);
    std::vector<uint8_t> bytes;
    EncodeNodeMessage(refusals, bytes);
    const NodeMessage read = DecodeNodeMessage(bytes).value();
    CPPUNIT_ASSERT_EQUAL(kMaxRefusedRequests,
                         std::get<RefusalReport>(read).requests.size());
    // The number of requests follows the data centre and a flag.
    constexpr size_t kCountOffset = 2 + 4 + 1;
    bytes[kCountOffset] = kMaxRefusedRequests + 1;
    CPPUNIT_ASSERT(!DecodeNodeMessage(bytes).has_value());
  }

  // Guards against a flow that is denied for another one, or by an agent that
  // cannot tell.
  void QueriesAndAnswersKeepTheirMeaning() {
    for (const bool acknowledges : {true, false}) {
      FlowQuery query;
      query.flow = FlowPackets(4711).flow();
      query.acknowledges = acknowledges;
      query.acknowledged = 0xfedcba98;
      std::vector<uint8_t> bytes;
      EncodeNodeMessage(query, bytes);
      const NodeMessage message = DecodeNodeMessage(bytes).value();
      const auto& read = std::get<FlowQuery>(message);
      CPPUNIT_ASSERT(read.flow == query.flow);
      CPPUNIT_ASSERT_EQUAL(acknowledges, read.acknowledges);
      CPPUNIT_ASSERT_EQUAL(query.acknowledged, read.acknowledged);
    }
    for (const auto outcome :
         {QueryAnswer::Outcome::kNotHeld, QueryAnswer::Outcome::kUnclear}) {
      QueryAnswer answer;
      answer.agent = MakeIdentity();
      answer.load = {4, 2, 17, 25'000, 310, InstanceState::kDraining};
      answer.flow = FlowPackets(4711).flow();
      answer.outcome = outcome;
      std::vector<uint8_t> bytes;
      EncodeNodeMessage(answer, bytes);
      const NodeMessage message = DecodeNodeMessage(bytes).value();
      const auto& read = std::get<QueryAnswer>(message);
      CPPUNIT_ASSERT(read.outcome == outcome);
      CPPUNIT_ASSERT(read.flow == answer.flow);
      CPPUNIT_ASSERT(read.agent.uid == answer.agent.uid);
      CPPUNIT_ASSERT(read.agent.incarnation == answer.agent.incarnation);
      CPPUNIT_ASSERT(read.agent.service == answer.agent.service);
      CPPUNIT_ASSERT(read.load.state == InstanceState::kDraining);
    }
  }

  // Guards against an outcome of a later release that is taken for a denial.
  void UnknownOutcomeIsRejected() {
    std::vector<uint8_t> bytes;
    EncodeNodeMessage(QueryAnswer(), bytes);
    CPPUNIT_ASSERT(DecodeNodeMessage(bytes).has_value());
    bytes.back() = 2;
    CPPUNIT_ASSERT(!DecodeNodeMessage(bytes).has_value());
  }

  void RandomBytesDoNotCrashTheDecoder() {
    std::vector<uint8_t> valid;
    EncodeNodeMessage(OneOfEach()[0], valid);
    std::mt19937 random(1);
    for (int i = 0; i < 20'000; ++i) {
      std::vector<uint8_t> bytes(random() % 120);
      for (uint8_t& byte : bytes)
        byte = static_cast<uint8_t>(random());
      if (bytes.size() > 2) {
        bytes[0] = valid[0];
        bytes[1] = static_cast<uint8_t>(1 + random() % 8);
      }
      static_cast<void>(DecodeNodeMessage(bytes));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeCodecTest);

}  // namespace
}  // namespace skylarkshunt
