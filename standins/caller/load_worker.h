#ifndef STANDINS_CALLER_LOAD_WORKER_H_
#define STANDINS_CALLER_LOAD_WORKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "skylarkshunt/net/udp_socket.h"
#include "standins/caller/caller_session.h"
#include "standins/caller/load_options.h"
#include "standins/caller/load_tally.h"

namespace skylarkshunt {

/// One thread of the load tool: its sockets, flows and draws. Run() belongs to
/// one thread; issued() and ended() may be read by any.
class LoadWorker {
 public:
  /// `index` tells the workers of one load apart; `options` must outlive the
  /// worker. Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<LoadWorker>> Create(const LoadOptions& options,
                                                    uint32_t index);

  /// Starts requests for the duration of the options and returns when the last
  /// has ended.
  void Run();

  /// Precondition: Run() has returned.
  const LoadTally& tally() const { return tally_; }
  uint64_t issued() const { return issued_.load(std::memory_order_relaxed); }
  uint64_t ended() const { return ended_.load(std::memory_order_relaxed); }

 private:
  /// One flow at a time.
  struct Slot {
    std::unique_ptr<CallerSession> session;
    uint32_t started = 0;
    /// Next wake-up in the timer queue, so that none is queued twice.
    absl::Time wake = absl::InfiniteFuture();
  };
  /// What a caller wants done, by one request id or, after refusals, by more.
  struct Work {
    uint32_t slot = 0;
    uint32_t kind = 0;
    CallPlan plan;
    absl::Time due;
    uint32_t reissues_left = 0;
  };
  enum class TimerKind { kSession, kIssue, kReissue };
  struct Timer {
    absl::Time at;
    TimerKind kind = TimerKind::kSession;
    uint32_t slot = 0;
    Work work;
    bool operator>(const Timer& other) const { return at > other.at; }
  };

  LoadWorker(const LoadOptions& options,
             uint32_t index,
             std::vector<UdpSocket> sockets);

  void OpenFlow(Slot* slot);
  void EndFlow(uint32_t index, bool open_next);
  void CloseAll();
  void ScheduleFirst(absl::Time now);
  void FireTimers(absl::Time now);
  void Fire(absl::Time now, const Timer& timer);
  void IssueDue(absl::Time now, uint32_t slot, absl::Time due);
  bool PickSlot(uint32_t* slot);
  void Issue(absl::Time now, const Work& work);
  void ReadSockets();
  void Apply(absl::Time now, uint32_t slot, const CallerOutput& output);
  void OnFinished(absl::Time now, const FinishedRequest& finished);
  void Record(const Work& work, const FinishedRequest& finished);
  bool Reissue(absl::Time now, Work work, const FinishedRequest& finished);
  absl::Duration Exponential(absl::Duration mean);
  uint32_t DrawKind();

  const LoadOptions& options_;
  std::mt19937_64 random_;
  std::vector<UdpSocket> sockets_;
  std::vector<int> fds_;
  std::vector<Slot> slots_;
  std::vector<double> shares_;
  absl::flat_hash_map<RequestId, Work> works_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  absl::Time end_;
  uint32_t next_slot_ = 0;
  uint64_t waiting_reissues_ = 0;
  LoadTally tally_;
  std::atomic<uint64_t> issued_{0};
  std::atomic<uint64_t> ended_{0};
};

}  // namespace skylarkshunt

#endif  // STANDINS_CALLER_LOAD_WORKER_H_
