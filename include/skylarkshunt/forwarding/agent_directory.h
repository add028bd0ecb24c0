#ifndef SKYLARKSHUNT_FORWARDING_AGENT_DIRECTORY_H_
#define SKYLARKSHUNT_FORWARDING_AGENT_DIRECTORY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "skylarkshunt/base/endpoint.h"
#include "skylarkshunt/forwarding/messages.h"

namespace skylarkshunt {

/// Shortest time between two reports of an agent to an entry.
inline constexpr absl::Duration kAgentReportInterval = absl::Milliseconds(100);
/// Least silence after which an agent gets no new flow: five of the shortest
/// intervals, because a process with a twentieth of a core may be late by two
/// or three.
inline constexpr absl::Duration kAgentSuspectTimeout = absl::Milliseconds(500);

/// Returns the time between two reports of an agent to each of `entries`. It
/// grows with their number, so that an agent sends at most 125 reports a second
/// in all, and fewer in fleets of many entries. Thread-safe.
absl::Duration AgentReportInterval(size_t entries);
/// Least silence after which an agent is forgotten, and flows that nobody else
/// holds are given up; longer than an agent needs to start again. Twice the
/// silence after which it gets no new flow, where that is longer.
inline constexpr absl::Duration kAgentExpiryTimeout = absl::Seconds(6);

/// One agent as an entry knows it.
struct AgentView {
  AgentIdentity identity;
  Endpoint endpoint;
  AgentLoad load;
  uint64_t sequence = 0;
  Revision configuration{};
  /// Silence after which it gets no new flow.
  absl::Duration suspect_timeout = kAgentSuspectTimeout;
  absl::Time heard;
  /// Opening packets sent there since it last told its load.
  uint32_t unreported = 0;
  absl::Time last_sent;
  /// Opening packets without an answer since it was last heard.
  uint32_t unanswered = 0;
};

/// Whether the agent has been heard lately. Thread-safe on a const object.
bool IsResponsive(const AgentView& agent, absl::Time now);

/// An opening packet that was sent to `agent` at `sent` has had no answer.
/// After two of them an agent counts as silent until it is heard again.
void RecordUnanswered(AgentView& agent, absl::Time sent);

/// What became known with a message of an agent.
enum class AgentChange : uint8_t {
  kNone,
  kAppeared,   ///< Not known before.
  kRestarted,  ///< Another incarnation than before.
  kState,      ///< Another state than before.
};

/// The agents that an entry knows, by service. Soft state: agents report
/// themselves, and nothing is kept beyond the process. Not thread-safe.
class AgentDirectory {
 public:
  /// Takes any message of an agent into account. Reports with a sequence that
  /// is not higher and older incarnations are ignored.
  AgentChange Update(const AgentIdentity& agent,
                     const AgentLoad& load,
                     Endpoint endpoint,
                     absl::Time now);
  /// As above for a report, with its sequence and configuration.
  AgentChange UpdateFromReport(const AgentReport& report,
                               Endpoint endpoint,
                               absl::Time now);

  /// Removes agents that have been silent for kAgentExpiryTimeout, and returns
  /// them.
  std::vector<AgentView> RemoveUnresponsive(absl::Time now);

  /// Returns the agent, or null.
  AgentView* Find(InstanceUid uid);
  /// The agents of a service in no particular order; empty if there are none.
  absl::Span<AgentView* const> AgentsOfService(ServiceUid service) const;

  /// Whether every agent of the service has been heard lately, so that "no
  /// agent holds the flow" is certain.
  bool IsComplete(ServiceUid service, absl::Time now) const;

  /// Calls `visit` with each agent.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [uid, agent] : agents_)
      visit(*agent);
  }

 private:
  absl::flat_hash_map<InstanceUid, std::unique_ptr<AgentView>> agents_;
  absl::flat_hash_map<ServiceUid, std::vector<AgentView*>> of_service_;
};

/// Most agents of the own data centre, and of the others, that one flow is
/// placed on while any of them accepts it.
inline constexpr size_t kCandidatesPerSide = 6;
/// Most agents of either side that a search asks first: two more, for views
/// that differ by agents that came or left.
inline constexpr size_t kSearchedPerSide = 8;

/// Appends the first agents in the order of a flow: up to `per_side` of the own
/// data centre and up to `per_side` of the others, whatever their state. The
/// order follows from the flow and the agents alone, so that all entries of a
/// data centre have the same one, and an agent that comes or leaves moves the
/// others by one place at most. All agents where there are no more than
/// 2 * `per_side`.
void AppendCandidates(absl::Span<AgentView* const> agents,
                      uint64_t flow_hash,
                      uint32_t data_centre,
                      size_t per_side,
                      std::vector<AgentView*>& candidates);

/// What placement takes into account of one opening packet.
struct PlacementRequest {
  ServiceUid service{};
  uint32_t data_centre = 0;
  /// Breaks ties; the same for all copies of the packet.
  uint64_t flow_hash = 0;
  absl::Span<const InstanceUid> declined;
};

/// Where a new flow goes.
struct Placement {
  AgentView* agent = nullptr;
  /// Wait for a slot there, in microseconds.
  uint32_t wait_us = 0;
  /// The agent declines above this wait, since another is expected to be
  /// better; the maximum when there is no other.
  uint32_t wait_limit_us = 0;
};

/// Returns the agent with the lowest expected time to the first byte among the
/// candidates of the flow, or among all where none of these accepts it. An
/// agent of the own data centre is preferred while it has a free slot. Nothing
/// when no agent accepts flows. Precondition: `directory` outlives the result.
absl::optional<Placement> PlaceFlow(AgentDirectory& directory,
                                    const PlacementRequest& request,
                                    absl::Time now);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_AGENT_DIRECTORY_H_
