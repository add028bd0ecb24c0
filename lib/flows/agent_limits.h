#ifndef SKYLARKSHUNT_FLOWS_AGENT_LIMITS_H_
#define SKYLARKSHUNT_FLOWS_AGENT_LIMITS_H_

#include <cstddef>
#include <memory>

#include "absl/time/time.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Most requests in the ledger.
inline constexpr size_t kMaxLedgerEntries = 100'000;
/// How long the ledger keeps a request id, and how long a binding is valid.
inline constexpr absl::Duration kLedgerHorizon = absl::Seconds(600);
/// Most memory of retained answers.
inline constexpr size_t kMaxAnswerBytes = size_t{16} * 1024 * 1024;
/// Added to the body size of each retained answer, which bounds the number of
/// empty answers too.
inline constexpr size_t kAnswerOverheadBytes = 256;
/// How long an answer is retained.
inline constexpr absl::Duration kAnswerRetention = absl::Seconds(120);
/// Most ids of dropped answers that are kept.
inline constexpr size_t kMaxDroppedAnswerIds = 100'000;
/// A flow without a message for this time is removed; its binding has expired
/// by then.
inline constexpr absl::Duration kFlowIdleLimit = kLedgerHorizon;
/// As kFlowIdleLimit, for a flow that only got a binding: its caller
/// retransmits at once, to this agent or under another agent's binding.
inline constexpr absl::Duration kUnusedFlowIdleLimit = absl::Seconds(30);
/// Age from which the next answer renews a flow's binding.
inline constexpr absl::Duration kBindingRenewAge = absl::Seconds(300);
/// Most former incarnations of this process that are kept.
inline constexpr size_t kMaxFormerIncarnations = 64;
/// How far the clock of an agent that transfers a request may be ahead of the
/// receiver's.
inline constexpr absl::Duration kMaxClockAhead = absl::Seconds(60);
/// How long an agent that shuts down keeps an answer for which no Done has
/// arrived.
inline constexpr absl::Duration kShutdownAnswerRetention = absl::Seconds(3);

/// Limits that tests reduce.
struct AgentLimits {
  size_t ledger_entries = kMaxLedgerEntries;
  size_t answer_bytes = kMaxAnswerBytes;
};

/// As AgentCore::Create(), with other limits than the product's.
Result<std::unique_ptr<AgentCore>> CreateAgentCore(AgentCore::Options options,
                                                   AgentLimits limits);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FLOWS_AGENT_LIMITS_H_
