#ifndef STANDINS_FABRIC_FABRIC_H_
#define STANDINS_FABRIC_FABRIC_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "standins/fabric/sprayer.h"

namespace skylarkshunt {

/// Counts of datagrams since the start.
struct FabricCounts {
  std::map<std::string, uint64_t> to_entry;
  std::map<std::string, uint64_t> from_entry;
  uint64_t dropped = 0;
  uint64_t duplicated = 0;
  uint64_t delayed = 0;
  /// Found no healthy entry.
  uint64_t no_entry = 0;
  /// Callers' sockets that were taken for a newer caller.
  uint64_t replaced_callers = 0;
};

/// Sprays every datagram of every caller over the entries, and hands answers
/// back from its own address. The methods are thread-safe; one thread of its
/// own moves the datagrams.
class Fabric {
 public:
  struct Options {
    Endpoint listen{0x7f000001, 0};
    Sprayer::Pick pick = Sprayer::Pick::kRandom;
    uint64_t seed = 1;
    /// Callers' end points kept at once, each with a socket; the one that was
    /// idle longest makes room.
    size_t max_callers = 512;
  };

  /// Binds and starts the thread. Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<Fabric>> Start(const Options& options);
  Fabric(const Fabric&) = delete;
  Fabric& operator=(const Fabric&) = delete;
  /// Ends the thread.
  ~Fabric();

  Endpoint address() const { return socket_.local(); }
  void SetEntries(std::vector<Endpoint> entries);
  void SetFaults(FabricFaults faults);
  FabricCounts Counts() const;

 private:
  /// A caller's end point and the socket that stands for it at the entries.
  struct Caller {
    Endpoint endpoint;
    std::unique_ptr<UdpSocket> socket;
    uint64_t last_used = 0;
  };
  /// A datagram that is held back.
  struct Delayed {
    absl::Time at;
    uint64_t order = 0;
    bool to_entry = false;
    Endpoint caller;
    Endpoint entry;
    std::vector<uint8_t> bytes;
    bool operator>(const Delayed& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  Fabric(const Options& options, UdpSocket socket, Wakeup wakeup, int epoll);

  void Run();
  void Watch(int fd, uint64_t tag);
  void ReadCallers();
  void ReadEntries(size_t caller);
  Caller* FindCaller(Endpoint endpoint);
  size_t SlotForNewCaller();
  void Dispatch(bool to_entry,
                Endpoint caller,
                Endpoint entry,
                absl::Span<const uint8_t> bytes);
  void Send(bool to_entry,
            Endpoint caller,
            Endpoint entry,
            absl::Span<const uint8_t> bytes);
  void SendDue(absl::Time now);
  int WaitMilliseconds() const;

  const Options options_;
  UdpSocket socket_;
  Wakeup wakeup_;
  const int epoll_;
  std::vector<Caller> callers_;
  absl::flat_hash_map<Endpoint, size_t> caller_index_;
  std::priority_queue<Delayed, std::vector<Delayed>, std::greater<Delayed>>
      delayed_;
  uint64_t sequence_ = 0;
  mutable absl::Mutex mutex_;
  Sprayer sprayer_ ABSL_GUARDED_BY(mutex_);
  FabricCounts counts_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Most datagrams held back at once; more are dropped.
inline constexpr size_t kMaxDelayedDatagrams = 100'000;

}  // namespace skylarkshunt

#endif  // STANDINS_FABRIC_FABRIC_H_
