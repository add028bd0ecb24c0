#ifndef SKYLARKSHUNT_LIB_AGENT_CONTROL_LOOP_H_
#define SKYLARKSHUNT_LIB_AGENT_CONTROL_LOOP_H_

#include <atomic>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "data_loop.h"
#include "directory_reader.h"
#include "skylarkshunt/admin/status_board.h"
#include "skylarkshunt/control/agent_control.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/transport/control_transport.h"

namespace skylarkshunt {

/// Time between two publications of the status.
inline constexpr absl::Duration kAgentStatusInterval = absl::Milliseconds(250);

/// The control thread of an agent: heartbeats and configuration. The parts it
/// is given must outlive it.
class AgentControlLoop {
 public:
  struct Parts {
    std::unique_ptr<AgentControl> control;
    std::string service_name;
    ControlTransport& transport;
    AgentDataLoop& data;
    DirectoryReader& directory;
    StatusBoard& board;
    /// Notified by the transport, the data loop and the directory reader.
    Wakeup& wakeup;
  };

  explicit AgentControlLoop(Parts parts);

  void Start();
  /// Begins the drain that precedes the end of the process. Thread-safe.
  void BeginShutdown();
  /// Whether the drain is complete and announced. Thread-safe.
  bool ended() const { return ended_.load(); }

 private:
  void Step();
  void ProcessTransportEvents();
  void ProcessReport();
  void Execute(const AgentControlActions& actions);
  void Execute(const AgentControlAction& action);
  void OnServiceChanged(const ConfigRecord& record);
  void OnNewIncarnation(Incarnation incarnation);
  void PublishStatus();

  Parts parts_;
  AgentOrders orders_;
  AgentReport report_;
  bool orders_changed_ = false;
  absl::Time next_tick_ = absl::InfinitePast();
  absl::Time next_status_ = absl::InfinitePast();
  std::atomic<bool> shutdown_{false};
  std::atomic<bool> ended_{false};
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_CONTROL_LOOP_H_
