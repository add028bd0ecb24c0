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

/// Minimum time between two reports of an agent to an entry.
inline constexpr absl::Duration kAgentReportInterval = absl::Milliseconds(100);
/// Minimum time since the last message after which an agent gets no new flow.
/// It spans five of the shortest report intervals, because a process with a
/// twentieth of a core may be late by two or three.
inline constexpr absl::Duration kAgentSuspectTimeout = absl::Milliseconds(500);

/// Returns the time between two reports of an agent to each of `entries`. It
/// grows with their number, which limits an agent to 125 reports per second in
/// total, and to fewer in fleets of many entries. Thread-safe.
absl::Duration AgentReportInterval(size_t entries);
/// Minimum time since the last message after which an agent is removed and
/// flows that no other agent holds may be reset. It is longer than an agent
/// needs to restart. The limit is twice AgentView::suspect_timeout where that
/// is longer.
inline constexpr absl::Duration kAgentExpiryTimeout = absl::Seconds(6);

/// State of one agent as an entry knows it.
struct AgentView {
  AgentIdentity identity;
  Endpoint endpoint;
  AgentLoad load;
  uint64_t sequence = 0;
  /// As it last reported.
  ConfigurationId configuration;
  /// Time since the last message after which it gets no new flow.
  absl::Duration suspect_timeout = kAgentSuspectTimeout;
  absl::Time last_seen;
  /// Opening packets sent to it that its last reported load may not include.
  uint32_t unreported = 0;
  absl::Time last_sent;
  /// Opening packets without an answer since its last message.
  uint32_t unanswered = 0;
  /// It has answered a FlowQuery, which earlier releases ignore.
  bool answers_queries = false;
};

/// Whether the last message of the agent is more recent than its
/// `suspect_timeout`, and fewer than two opening packets since then are
/// unanswered. Thread-safe on a const object.
bool IsResponsive(const AgentView& agent, absl::Time now);

/// Records that an opening packet that was sent to `agent` at `sent` timed out.
/// After two of them the agent counts as unresponsive until its next message.
/// Ignored if a message of the agent has arrived after `sent`.
void RecordUnanswered(AgentView& agent, absl::Time sent);

/// What a message of an agent changed.
enum class AgentChange : uint8_t {
  kNone,
  kAppeared,   ///< The agent was unknown.
  kRestarted,  ///< Its incarnation changed.
  kState,      ///< Its state changed.
};

/// The agents that an entry knows, by service. This is soft state: it is built
/// from the agents' reports and lost when the process ends. Not thread-safe.
class AgentDirectory {
 public:
  /// Updates an agent from any of its messages. Messages of older incarnations
  /// are ignored.
  AgentChange Update(const AgentIdentity& agent,
                     const AgentLoad& load,
                     Endpoint endpoint,
                     absl::Time now);
  /// Updates an agent from a report, including its sequence. Reports whose
  /// sequence is not higher than the last one are ignored.
  AgentChange UpdateFromReport(const AgentReport& report,
                               Endpoint endpoint,
                               absl::Time now);

  /// Records the configuration of the agent at `address`, if one is known.
  void RecordConfiguration(uint32_t address, const ConfigurationId& held);
  /// Removes and returns the agents whose last message is older than
  /// kAgentExpiryTimeout, or than twice their `suspect_timeout` where that is
  /// longer.
  std::vector<AgentView> RemoveUnresponsive(absl::Time now);

  /// Returns the agent, or null.
  AgentView* Find(InstanceUid uid);
  /// The agents of a service in no particular order; empty if there are none.
  absl::Span<AgentView* const> AgentsOfService(ServiceUid service) const;

  /// Returns the services that have had an agent, in no particular order.
  std::vector<ServiceUid> Services() const;

  /// Returns the time at which an agent of the service was last added;
  /// InfinitePast if there was none. An agent that restarted is not added
  /// again.
  absl::Time last_appeared(ServiceUid service) const;
  /// Returns the time at which an agent of the service whose target was not
  /// down was last removed as unresponsive; InfinitePast if there was none. It
  /// may still run, and its target hold flows.
  absl::Time last_lost(ServiceUid service) const;
  /// Returns the time after which an agent of the service without a message is
  /// removed; the longest one of its agents.
  absl::Duration ExpiryTimeout(ServiceUid service) const;

  /// Whether every known agent of the service is responsive or down, and none
  /// has appeared for so long that further ones are not expected. Also true
  /// without any agent. A condition for the proof that no agent holds a flow.
  bool IsComplete(ServiceUid service, absl::Time now) const;

  /// Whether an agent of the service has announced that it shuts down. Its next
  /// process may take a while to start.
  bool IsAnyLeaving(ServiceUid service) const;

  /// Calls `visit` with each agent.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const auto& [uid, agent] : agents_)
      visit(*agent);
  }

 private:
  absl::flat_hash_map<InstanceUid, std::unique_ptr<AgentView>> agents_;
  absl::flat_hash_map<ServiceUid, std::vector<AgentView*>> of_service_;
  absl::flat_hash_map<ServiceUid, absl::Time> last_appeared_;
  absl::flat_hash_map<ServiceUid, absl::Time> last_lost_;
};

/// Maximum number of placement candidates of a flow in the local data centre,
/// and in the other ones together. Other agents are used only if no candidate
/// accepts the flow.
inline constexpr size_t kCandidatesPerSide = 6;
/// Maximum number of agents on either side that a search queries first. Two
/// more than kCandidatesPerSide, since the views of two entries may differ by
/// agents that joined or left.
inline constexpr size_t kSearchedPerSide = 8;

/// Appends the first agents in the order of a flow: up to `per_side` of the
/// local data centre and up to `per_side` of the others, in any state. Appends
/// all agents if there are at most 2 * `per_side`. The order depends only on
/// the flow and the agents. All entries of a data centre therefore use the same
/// order, and an agent that joins or leaves moves the others by at most one
/// place.
void AppendCandidates(absl::Span<AgentView* const> agents,
                      uint64_t flow_hash,
                      uint32_t data_centre,
                      size_t per_side,
                      std::vector<AgentView*>& candidates);

/// Properties of an opening packet that placement depends on.
struct PlacementRequest {
  ServiceUid service{};
  uint32_t data_centre = 0;
  /// Breaks ties. The same for all retransmissions of the packet.
  uint64_t flow_hash = 0;
  absl::Span<const InstanceUid> declined;
  /// Data centres whose agents get no new flow, as in AgentIdentity; sorted.
  absl::Span<const uint32_t> evacuated;
};

/// Destination of a new flow.
struct Placement {
  AgentView* agent = nullptr;
  /// Expected wait for a slot, in microseconds.
  uint32_t wait_us = 0;
  /// The agent declines the flow if the wait exceeds this limit, since another
  /// agent is then expected to be faster. The maximum value if there is no
  /// other agent.
  uint32_t wait_limit_us = 0;
};

/// Returns the agent with the lowest expected time to the first byte among the
/// candidates of the flow, or among all where none of these accepts it. An
/// agent of the local data centre is preferred while it has a free slot.
/// Returns no value if no agent accepts flows. Precondition: `directory`
/// outlives the result.
absl::optional<Placement> PlaceFlow(AgentDirectory& directory,
                                    const PlacementRequest& request,
                                    absl::Time now);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_AGENT_DIRECTORY_H_
