#ifndef SKYLARKSHUNT_LIB_AGENT_DATA_LOOP_H_
#define SKYLARKSHUNT_LIB_AGENT_DATA_LOOP_H_

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "agent_metrics.h"
#include "decision_log.h"
#include "health_loop.h"
#include "skylarkshunt/base/bounded_ring.h"
#include "skylarkshunt/base/counters.h"
#include "skylarkshunt/base/error.h"
#include "skylarkshunt/configuration/service_config.h"
#include "skylarkshunt/flows/agent_core.h"
#include "skylarkshunt/net/loop_thread.h"
#include "skylarkshunt/net/poller.h"
#include "skylarkshunt/net/udp_socket.h"
#include "target_pool.h"

namespace skylarkshunt {

/// Maximum number of cores: the newest one and those that finish the work of
/// former services. When it is exceeded, the oldest core ends at once.
inline constexpr size_t kMaxCores = 4;
/// A core of a former service ends when this time has passed and it has no
/// flows or requests. Until then, bindings that it issued can arrive.
inline constexpr absl::Duration kFormerCoreLifetime = absl::Seconds(600);
/// Time between two reports to the control thread without a change.
inline constexpr absl::Duration kReportInterval = absl::Milliseconds(200);

/// The newest record of the agent's service.
struct ServiceOrder {
  Revision revision{};
  bool deleted = false;
  ServiceConfig config;
};

/// The complete orders of the control thread to the data thread. Because they
/// are complete, newer orders replace older ones without loss.
struct AgentOrders {
  absl::optional<ServiceOrder> service;
  bool drain = false;
  Incarnation incarnation{};
  bool shutdown = false;
};

/// State that the data thread reports to the control thread. A newer report
/// replaces an older one.
struct AgentReport {
  InstanceState state = InstanceState::kServing;
  Incarnation incarnation{};
  /// Revision of the service's record that is applied; 0 before the first.
  Revision applied{};
  bool shutdown_complete = false;
  AgentStats stats;
  /// At most kMaxReportedFlows.
  std::vector<OpenFlow> flows;
};

/// The data thread of an agent. It handles datagrams, the agent cores and the
/// runs at the target. Order() and TryPopReport() are thread-safe.
class AgentDataLoop {
 public:
  struct Options {
    Endpoint data;
    Endpoint target;
    AgentPolicy policy;
    uint64_t random_seed = 1;
    uint32_t established_log_rate = 0;
    CounterRegistry* counters = nullptr;
    /// Runs after each new report.
    std::function<void()> on_report;
  };

  /// Opens the socket. Errors: kAddressInUse, kSystem.
  static Result<std::unique_ptr<AgentDataLoop>> Open(const Options& options);

  void Start();
  Endpoint local() const { return socket_.local(); }
  void Order(AgentOrders orders);
  absl::optional<AgentReport> TryPopReport() { return reports_.TryPop(); }
  void SetEstablishedLogRate(uint32_t rate) { log_.SetRate(rate); }

 private:
  struct Core {
    ServiceUid service{};
    std::unique_ptr<AgentCore> core;
    absl::Time superseded = absl::InfiniteFuture();
    bool shutdown_complete = false;
  };

  AgentDataLoop(const Options& options, UdpSocket socket, Wakeup wakeup);

  void Step();
  void ReceiveDatagrams();
  void OnForward(const Forward& forward);
  void ProcessEndedRuns();
  void ProcessHealthHint();
  void Tick();
  void RemoveFinishedCores();
  void ApplyOrders(const AgentOrders& orders);
  void ApplyService(const ServiceOrder& service, Incarnation incarnation);
  void LeaveFormerService(Revision revision);
  bool ResumeCore(ServiceUid service);
  bool AddCore(const ServiceOrder& service, Incarnation incarnation);
  void Execute(Core& core, const AgentActions& actions);
  void Execute(Core& core, const AgentAction& action);
  void Send(Endpoint peer, const LinkMessage& message);
  void ReportWhenDue();
  bool shutdown_complete() const;

  const Options options_;
  UdpSocket socket_;
  Wakeup wakeup_;
  DecisionLog log_;
  Counter& malformed_;
  Counter& unsent_;
  Counter& unserved_;
  Counter& runs_refused_;
  Counter& orders_replaced_;
  Counter& reports_replaced_;
  AgentMetrics metrics_;
  BoundedRing<AgentOrders> orders_;
  BoundedRing<AgentReport> reports_;
  /// The newest core is the last one.
  std::vector<Core> cores_;
  AgentOrders applied_;
  bool report_changed_ = false;
  absl::Time next_tick_ = absl::InfinitePast();
  absl::Time next_report_ = absl::InfinitePast();
  TargetPool pool_;
  HealthLoop health_;
  LoopThread thread_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_LIB_AGENT_DATA_LOOP_H_
