#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/documents/document_download.h"
#include "skylarkshunt/documents/packed_document.h"

namespace skylarkshunt {
namespace {

constexpr uint32_t kFirstNode = 0x0a000001;

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Seconds(1000) + absl::Milliseconds(ms);
}

/// Returns `bytes` of routes with distinct addresses and names, in the form in
/// which operators write them.
std::string MakeRoutes(size_t bytes) {
  std::mt19937 random(7);
  std::string text = R"({"version":1,"routes":[)";
  while (text.size() < bytes) {
    absl::StrAppend(&text, R"({"name":"route-)", random(),
                    R"(","host":"198.18.)", random() % 256, ".", random() % 256,
                    R"(","path-prefix":"/)", random() % 65536,
                    R"(/","service":"s)", random() % 8,
                    R"(","kind":"idempotent","timeout-ms":2500,)"
                    R"("target-latency-ms":150,"priority":2},)");
  }
  text.resize(bytes);
  return text;
}

ConfigurationId Id(uint64_t version) {
  return {version, MakeRevision(Epoch{1}, 10 * version)};
}

PackedDocument Pack(uint64_t version, absl::string_view body) {
  return PackDocument(Id(version), body).value();
}

/// Transfers the requested part of `document` to `download`. Returns the
/// document when it is complete.
absl::optional<PackedDocument> TransferPart(
    const PackedDocument& document,
    const DocumentDownload::Request& request,
    DocumentDownload& download) {
  const std::string message = EncodeChunk(document, request.offset);
  return download.OnChunk(request.node, DecodeChunk(message).value());
}

class DocumentTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentTransferTest);
  CPPUNIT_TEST(TransferPreservesTheDocument);
  CPPUNIT_TEST(DamagedPartsAreRejected);
  CPPUNIT_TEST(PartsOfDifferentDocumentsAreNotJoined);
  CPPUNIT_TEST(ReceivedPartsAreKeptWhenTheirSenderFails);
  CPPUNIT_TEST(FailedSourcesAreReplacedByOthers);
  CPPUNIT_TEST(FrequentChangesDoNotRestartTheTransfer);
  CPPUNIT_TEST(NodeWithAnOlderDocumentThanItOfferedIsNotAskedAgain);
  CPPUNIT_TEST(TransfersUseHalfOfTheLink);
  CPPUNIT_TEST(SimultaneousStartOnSlowLinksReachesAllNodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TransferPreservesTheDocument() {
    const std::string body = MakeRoutes(200'000);
    const PackedDocument document = Pack(5, body);
    CPPUNIT_ASSERT(document.packed.size() * 4 < body.size());
    DocumentDownload download(1);
    download.OnOffer(kFirstNode, Id(5));
    absl::optional<PackedDocument> received;
    while (!received.has_value()) {
      const auto request = download.Next(Id(4), At(0));
      CPPUNIT_ASSERT(request.has_value());
      received = TransferPart(document, *request, download);
    }
    CPPUNIT_ASSERT(UnpackDocument(*received).value() == body);
    CPPUNIT_ASSERT(received->id == Id(5));
    // The revision that the node has is not requested.
    CPPUNIT_ASSERT(!download.Next(Id(5), At(1)).has_value());
  }

  // Guards against accepting a configuration that was truncated or changed
  // during its transfer.
  void DamagedPartsAreRejected() {
    const PackedDocument document = Pack(5, MakeRoutes(60'000));
    const std::string message = EncodeChunk(document, 0);
    for (const size_t size : {size_t{0}, size_t{1}, size_t{35}, size_t{36}})
      CPPUNIT_ASSERT(!DecodeChunk(message.substr(0, size)).has_value());
    CPPUNIT_ASSERT(!DecodeChunk(message + "x").has_value());
    PackedDocument damaged = document;
    damaged.packed[damaged.packed.size() / 2] ^= 1;
    CPPUNIT_ASSERT(!UnpackDocument(damaged).has_value());
    PackedDocument cut = document;
    cut.packed.resize(cut.packed.size() - 1);
    CPPUNIT_ASSERT(!UnpackDocument(cut).has_value());
    PackedDocument longer = document;
    longer.raw_bytes += 1;
    CPPUNIT_ASSERT(!UnpackDocument(longer).has_value());
  }

  // Guards against joining parts of two revisions into one document when the
  // sending node adopts a newer revision during the transfer.
  void PartsOfDifferentDocumentsAreNotJoined() {
    const PackedDocument first = Pack(5, MakeRoutes(120'000));
    const std::string body = MakeRoutes(130'000);
    const PackedDocument second = Pack(6, body);
    DocumentDownload download(1);
    download.OnOffer(kFirstNode, Id(5));
    TransferPart(first, *download.Next(Id(4), At(0)), download);
    absl::optional<PackedDocument> received;
    for (int i = 0; i < 100 && !received.has_value(); ++i)
      received = TransferPart(second, *download.Next(Id(4), At(1)), download);
    CPPUNIT_ASSERT(received.has_value());
    CPPUNIT_ASSERT(UnpackDocument(*received).value() == body);
  }

  // Guards against a transfer on a slow link that restarts whenever a node does
  // not answer in time, and so never completes.
  void ReceivedPartsAreKeptWhenTheirSenderFails() {
    const PackedDocument document = Pack(5, MakeRoutes(400'000));
    DocumentDownload download(1);
    for (uint32_t node = 0; node < 40; ++node)
      download.OnOffer(kFirstNode + node, Id(5));
    absl::optional<PackedDocument> received;
    size_t asked = 0;
    int64_t ms = 0;
    // Each node sends one part and then stops answering.
    while (!received.has_value() && asked < 200) {
      const auto request = download.Next(Id(4), At(ms));
      ms += 10;
      if (!request.has_value())
        continue;
      ++asked;
      received = TransferPart(document, *request, download);
      if (!received.has_value())
        download.OnFailure(request->node, At(ms));
    }
    CPPUNIT_ASSERT(received.has_value());
    const size_t parts =
        (document.packed.size() + kChunkBytes - 1) / kChunkBytes;
    CPPUNIT_ASSERT_EQUAL(parts, asked);
  }

  // Loss of a data centre: guards against a node that keeps sending requests to
  // lost nodes because they fill its list of sources.
  void FailedSourcesAreReplacedByOthers() {
    constexpr uint32_t kGone = 200;
    constexpr uint32_t kLive = kFirstNode + kGone;
    DocumentDownload download(1);
    for (uint32_t node = 0; node < kGone; ++node)
      download.OnOffer(kFirstNode + node, Id(5));
    bool asked = false;
    for (int64_t ms = 0; ms < 1'000 && !asked; ms += 10) {
      download.OnOffer(kLive, Id(5));
      const auto request = download.Next(Id(4), At(ms));
      if (!request.has_value())
        continue;
      asked = request->node == kLive;
      download.OnFailure(request->node, At(ms));
    }
    CPPUNIT_ASSERT(asked);
  }

  // Guards against nodes that never complete a version when each change arrives
  // before the previous one has been transferred over their link.
  void FrequentChangesDoNotRestartTheTransfer() {
    const PackedDocument document = Pack(10, MakeRoutes(400'000));
    DocumentDownload download(1);
    download.OnOffer(kFirstNode, Id(10));
    absl::optional<PackedDocument> received;
    size_t asked = 0;
    for (uint64_t version = 11; !received.has_value() && asked < 200;
         ++version) {
      const auto request = download.Next(Id(9), At(0));
      received = TransferPart(document, *request, download);
      ++asked;
      download.OnOffer(kFirstNode, Id(version));
    }
    CPPUNIT_ASSERT(received.has_value());
    const size_t parts =
        (document.packed.size() + kChunkBytes - 1) / kChunkBytes;
    CPPUNIT_ASSERT_EQUAL(parts, asked);
  }

  // Guards against requests without end to a node that restarted, and that read
  // an older version than it had offered from a restored store.
  void NodeWithAnOlderDocumentThanItOfferedIsNotAskedAgain() {
    const PackedDocument older =
        PackDocument({4, MakeRevision(Epoch{2}, 1)}, MakeRoutes(120'000))
            .value();
    DocumentDownload download(1);
    download.OnOffer(kFirstNode, Id(5));
    const auto request = download.Next(Id(4), At(0));
    CPPUNIT_ASSERT(request->id == Id(5));
    TransferPart(older, *request, download);
    CPPUNIT_ASSERT(!download.Next(Id(5), At(1)).has_value());
    CPPUNIT_ASSERT(download.NextRequestTime(Id(5)) == absl::InfiniteFuture());
    // The same version under a later revision counts as newer.
    CPPUNIT_ASSERT(!download.Next(older.id, At(1)).has_value());
    download.OnOffer(kFirstNode, Id(5));
    CPPUNIT_ASSERT(download.Next(older.id, At(1)).has_value());
  }

  // Guards against documents that delay packets of callers.
  void TransfersUseHalfOfTheLink() {
    constexpr uint64_t kLink = 250'000;
    TransferBudget budget(kLink);
    size_t sent = 0;
    for (int64_t ms = 0; ms < 10'000; ++ms)
      sent += budget.Take(kChunkBytes, kChunkBytes, At(ms)) ? kChunkBytes : 0;
    CPPUNIT_ASSERT(sent <= 10 * kLink / 2 + 4 * kChunkBytes);
    CPPUNIT_ASSERT(sent >= 10 * kLink / 2 - 4 * kChunkBytes);
    TransferBudget unlimited(0);
    for (int i = 0; i < 1000; ++i)
      CPPUNIT_ASSERT(unlimited.Take(kChunkBytes, 0, At(0)));
  }

  // Simultaneous restart: 300 nodes on links of 2 Mbit/s start at once with the
  // largest configuration that the store accepts, and the store serves only
  // three of them. Each node that has the configuration serves it with half of
  // its link, so the number of complete nodes doubles in the time of one
  // transfer at that rate. The bound allows 50 % more for nodes that wait for
  // their turn.
  void SimultaneousStartOnSlowLinksReachesAllNodes() {
    constexpr size_t kNodes = 300;
    constexpr size_t kServedByStore = 3;
    constexpr double kLink = 250'000;
    const PackedDocument document = Pack(5, MakeRoutes(kMaxDocumentBytes));
    const double transfer_s =
        static_cast<double>(document.packed.size()) / (kLink / 2);
    const double doublings = std::ceil(std::log2(kNodes / kServedByStore));
    const auto bound_ms =
        static_cast<int64_t>(1000 * 1.5 * doublings * transfer_s);
    Fleet fleet(kNodes, kLink, document);
    for (size_t i = 0; i < kServedByStore; ++i)
      fleet.nodes[i].complete = true;
    int64_t ms = 0;
    while (fleet.Complete() < kNodes && ms < bound_ms)
      fleet.Step(ms += Fleet::kStepMs);
    CPPUNIT_ASSERT_EQUAL(kNodes, fleet.Complete());
  }

 private:
  /// Nodes that offer and fetch one document, each over its own link.
  struct Fleet {
    static constexpr int64_t kStepMs = 5;
    /// Time between two reports in which a node offers its document.
    static constexpr int64_t kOfferMs = 500;

    struct Node {
      Node(uint64_t seed, double link)
          : download(seed), budget(static_cast<uint64_t>(link)) {}
      DocumentDownload download;
      TransferBudget budget;
      bool complete = false;
      /// Times in milliseconds when each direction of the link is free again.
      double sends_until = 0;
      double receives_until = 0;
      /// The request whose answer is in transfer.
      absl::optional<DocumentDownload::Request> asked;
      double answer_at = 0;
    };

    Fleet(size_t count, double link, const PackedDocument& held)
        : link_bytes(link), document(held) {
      for (size_t i = 0; i < count; ++i)
        nodes.emplace_back(i + 1, link);
    }

    size_t Complete() const {
      return static_cast<size_t>(
          std::count_if(nodes.begin(), nodes.end(),
                        [](const Node& node) { return node.complete; }));
    }

    void Step(int64_t ms) {
      for (size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].complete && ms % kOfferMs == 0)
          Offer(i);
        if (!nodes[i].complete)
          Advance(nodes[i], ms);
      }
    }

    void Offer(size_t from) {
      for (Node& node : nodes)
        node.download.OnOffer(kFirstNode + static_cast<uint32_t>(from), Id(5));
    }

    void Advance(Node& node, int64_t ms) {
      if (node.asked.has_value()) {
        if (node.answer_at > static_cast<double>(ms))
          return;
        node.complete =
            TransferPart(document, *node.asked, node.download).has_value();
        node.asked.reset();
        if (node.complete)
          return;
      }
      const auto request = node.download.Next(Id(1), At(ms));
      if (!request.has_value())
        return;
      Node& source = nodes[request->node - kFirstNode];
      if (!source.budget.Take(kChunkBytes, request->offset, At(ms))) {
        node.download.OnBusy(request->node, At(ms));
        return;
      }
      const double start = std::max(
          {static_cast<double>(ms), source.sends_until, node.receives_until});
      const double end = start + 1000.0 * kChunkBytes / link_bytes;
      source.sends_until = end;
      node.receives_until = end;
      node.asked = request;
      node.answer_at = end;
    }

    double link_bytes;
    const PackedDocument& document;
    std::vector<Node> nodes;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentTransferTest);

}  // namespace
}  // namespace skylarkshunt
