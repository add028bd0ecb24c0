#ifndef SKYLARKSHUNT_DOCUMENTS_DOCUMENT_DOWNLOAD_H_
#define SKYLARKSHUNT_DOCUMENTS_DOCUMENT_DOWNLOAD_H_

#include <cstdint>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/ids.h"
#include "skylarkshunt/documents/packed_document.h"

namespace skylarkshunt {

/// Decides which part of a newer document a node asks for next, and whom. Parts
/// that came are kept whatever happens to the node that sent them, and the rest
/// is asked of any other one. Pure: offers, answers and the time go in. Not
/// thread-safe.
class DocumentDownload {
 public:
  struct Request {
    /// Address of the node to ask.
    uint32_t node = 0;
    Revision revision{};
    uint32_t offset = 0;
  };

  explicit DocumentDownload(uint64_t random_seed) : random_(random_seed) {}

  /// `node` says that it holds `revision`.
  void OnOffer(uint32_t node, Revision revision);
  /// Returns what to ask now for a document above `held`, or nothing.
  absl::optional<Request> Next(Revision held, absl::Time now);
  /// When Next() may return something that it does not return now; the infinite
  /// future if only an offer changes that.
  absl::Time next_time(Revision held) const;
  /// Takes a part that `node` sent. Returns the document when it is complete;
  /// its content is not checked yet.
  absl::optional<PackedDocument> OnChunk(uint32_t node,
                                         const DocumentChunk& chunk);
  /// `node` asks for patience, or does not answer: others are asked first.
  void OnBusy(uint32_t node, absl::Time now);
  void OnFailure(uint32_t node, absl::Time now);

  /// Bytes that came of the document in progress.
  size_t received_bytes() const { return partial_.packed.size(); }

 private:
  struct Source {
    Revision revision{};
    absl::Time not_before = absl::InfinitePast();
    uint32_t failures = 0;
  };

  void Delay(uint32_t node, absl::Duration delay, absl::Time now);

  std::mt19937_64 random_;
  absl::flat_hash_map<uint32_t, Source> sources_;
  /// The node that sent the last part; asked again while it answers.
  uint32_t preferred_ = 0;
  /// The document in progress; `packed` holds its first bytes.
  PackedDocument partial_;
  size_t packed_bytes_ = 0;
};

/// Limits the bytes that a node spends on handing documents on, so that packets
/// of callers come first on a slow link. Pure; not thread-safe.
class TransferBudget {
 public:
  /// `link_bytes_per_second` is the rate of the node's link; 0 where it is not
  /// known, which sets no limit.
  explicit TransferBudget(uint64_t link_bytes_per_second)
      : rate_(link_bytes_per_second / kLinkDivisor) {}

  /// Whether `bytes` may be sent now; they are counted then. A document that
  /// has begun goes on before another one begins (`offset` 0): if all askers
  /// shared the rate, none of them could hand the document on before nearly all
  /// have it.
  bool Take(size_t bytes, size_t offset, absl::Time now);

 private:
  /// Documents get this part of the link at most.
  static constexpr uint64_t kLinkDivisor = 2;

  const uint64_t rate_;
  /// When all bytes that were sent are within the rate.
  absl::Time paid_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_DOCUMENTS_DOCUMENT_DOWNLOAD_H_
