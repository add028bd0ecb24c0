#ifndef SKYLARKSHUNT_PLATFORM_PLATFORM_CLIENT_H_
#define SKYLARKSHUNT_PLATFORM_PLATFORM_CLIENT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/config_record.h"

namespace skylarkshunt {

/// Objects of an answer that cannot be read, since another writer left them.
/// Those that have a name and a revision are in the answer with the body
/// "null".
struct IgnoredObjects {
  size_t count = 0;
  /// What is wrong with the first one.
  std::string first;
};

/// All objects below a prefix at one revision of the platform.
struct ObjectList {
  Revision revision{};
  /// The epoch that the answer names; nothing if it names none readably. Its
  /// revisions are then in epoch 0.
  absl::optional<Epoch> epoch;
  std::vector<ConfigRecord> objects;
  IgnoredObjects ignored;
};

/// Changes of a watch; empty when the wait ended without one.
struct WatchBatch {
  /// Where the next watch goes on.
  Revision revision{};
  /// The epoch that the answer names; nothing if it names none readably. Its
  /// revisions are then in the epoch from which the watch asked.
  absl::optional<Epoch> epoch;
  std::vector<ConfigRecord> changes;
  IgnoredObjects ignored;
};

/// Whether a list may show a state that is some seconds old, at a lower price.
enum class ReadFreshness { kCurrent, kMayBeStale };

/// Blocking client of the platform's object store. Not thread-safe: one client
/// per thread. Every call ends within the time-outs of the options.
///
/// A key is "kind/name" and a prefix "kind/"; kind and name have 1 to 200
/// letters, digits, '-', '_' and '.'. Every call fails with kInvalidArgument
/// for others, and Write() for bodies above 1 MiB or that are no JSON text.
///
/// The store checks an expected revision by its count only. After a restore
/// that count may belong to another change.
class PlatformClient {
 public:
  struct Options {
    Endpoint platform;
    /// Bounds each call, or the time to the first byte of its answer where
    /// `progress_timeout` is set.
    absl::Duration timeout = absl::Seconds(2);
    /// Longest time without `progress_bytes` of an answer that has begun; zero
    /// for none.
    absl::Duration progress_timeout = absl::ZeroDuration();
    size_t progress_bytes = 1;
  };

  static Result<std::unique_ptr<PlatformClient>> Create(const Options& options);
  virtual ~PlatformClient() = default;

  /// Errors: kNotFound, kUnavailable, kRateLimited, kMalformedMessage.
  virtual Result<ConfigRecord> Read(absl::string_view key) = 0;

  /// Errors: as Read(); kUnavailable also if the store was restored between two
  /// pages.
  virtual Result<ObjectList> List(absl::string_view prefix,
                                  ReadFreshness freshness) = 0;
  Result<ObjectList> List(absl::string_view prefix) {
    return List(prefix, ReadFreshness::kCurrent);
  }

  /// Writes `body` where the object is absent (`expected` 0) or has the
  /// revision `expected`. Returns the new revision. Errors: kConflict,
  /// kRateLimited, kUnavailable (not written: no connection or 503) and
  /// kOutcomeUnknown (sent, but the answer did not arrive, or the store was
  /// restored since `expected` was read and may have replaced another change).
  virtual Result<Revision> Write(absl::string_view key,
                                 absl::string_view body,
                                 Revision expected) = 0;

  /// Removes the object at revision `expected`. Errors: as Write(), kNotFound.
  virtual Result<Revision> Remove(absl::string_view key, Revision expected) = 0;

  /// Waits up to `wait` for changes after `after`. Errors: kNotFound when the
  /// changes are no longer held, or the store was restored since `after`, so
  /// that a list is needed; kOversizedMessage when
  /// they exceed an answer and a list is needed, else as Read().
  virtual Result<WatchBatch> Watch(absl::string_view prefix,
                                   Revision after,
                                   absl::Duration wait) = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PLATFORM_PLATFORM_CLIENT_H_
