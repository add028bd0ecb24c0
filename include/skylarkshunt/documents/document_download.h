#ifndef SKYLARKSHUNT_DOCUMENTS_DOCUMENT_DOWNLOAD_H_
#define SKYLARKSHUNT_DOCUMENTS_DOCUMENT_DOWNLOAD_H_

#include <cstdint>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/configuration/configuration_id.h"
#include "skylarkshunt/documents/packed_document.h"

namespace skylarkshunt {

/// Selects the next part of a newer document to request, and the node to
/// request it from. Received parts are kept if the node that sent them fails;
/// any other node can supply the rest. Pure logic without I/O or clock. Not
/// thread-safe.
class DocumentDownload {
 public:
  struct Request {
    /// Address of the node to send the request to.
    uint32_t node = 0;
    ConfigurationId id;
    uint32_t offset = 0;
  };

  explicit DocumentDownload(uint64_t random_seed) : random_(random_seed) {}

  /// Records that `node` has the document `offered`.
  void OnOffer(uint32_t node, const ConfigurationId& offered);
  /// Returns the request to send now for a document newer than `held`, or
  /// nothing if no source is ready.
  absl::optional<Request> Next(const ConfigurationId& held, absl::Time now);
  /// Returns the time from which Next() may return a request; the infinite
  /// future if that takes a new offer.
  absl::Time NextRequestTime(const ConfigurationId& held) const;
  /// Adds a part that `node` sent. If it belongs to another document than the
  /// one that `node` offered, that one counts as offered from now on. Returns
  /// the document when it is complete. Its content has not been verified.
  absl::optional<PackedDocument> OnChunk(uint32_t node,
                                         const DocumentChunk& chunk);
  /// Records that `node` is busy or did not answer. Other nodes are preferred
  /// for some time.
  void OnBusy(uint32_t node, absl::Time now);
  void OnFailure(uint32_t node, absl::Time now);

  /// Returns the number of bytes received of the document in progress.
  size_t received_bytes() const { return partial_.packed.size(); }

 private:
  struct Source {
    ConfigurationId id;
    absl::Time not_before = absl::InfinitePast();
    uint32_t failures = 0;
  };

  void Delay(uint32_t node, absl::Duration delay, absl::Time now);

  std::mt19937_64 random_;
  absl::flat_hash_map<uint32_t, Source> sources_;
  /// The node that sent the last part; used again while it answers.
  uint32_t preferred_ = 0;
  /// The document in progress; `packed` holds its first bytes.
  PackedDocument partial_;
  size_t packed_bytes_ = 0;
};

/// Limits the rate at which a node serves documents to peers, so that packets
/// of callers have priority on a slow link. Pure logic. Not thread-safe.
class TransferBudget {
 public:
  /// `link_bytes_per_second` is the rate of the node's link. 0 means unknown,
  /// and disables the limit.
  explicit TransferBudget(uint64_t link_bytes_per_second)
      : rate_(link_bytes_per_second / kLinkDivisor) {}

  /// Returns whether `bytes` may be sent now, and if so counts them. Transfers
  /// that have begun have priority over new ones (`offset` 0): if all peers
  /// shared the rate, none could propagate the document before nearly all of
  /// them have it.
  bool Take(size_t bytes, size_t offset, absl::Time now);

 private:
  /// Documents may use at most 1/kLinkDivisor of the link.
  static constexpr uint64_t kLinkDivisor = 2;

  const uint64_t rate_;
  /// Time from which the bytes sent so far are within the rate.
  absl::Time within_rate_from_ = absl::InfinitePast();
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_DOCUMENTS_DOCUMENT_DOWNLOAD_H_
