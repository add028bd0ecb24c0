#ifndef SKYLARKSHUNT_UNITTESTS_FLOWS_AGENT_TEST_SUPPORT_H_
#define SKYLARKSHUNT_UNITTESTS_FLOWS_AGENT_TEST_SUPPORT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "flows/agent_limits.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

inline constexpr ServiceUid kTestService{77};
inline constexpr char kTestServiceName[] = "dispatch";
/// Kinds of the test service: a report is not idempotent, a pull is, and an
/// archive is an idempotent straggler.
inline constexpr char kReport[] = "report";
inline constexpr char kPull[] = "pull";
inline constexpr char kArchive[] = "archive";

/// Returns a service with 2 slots, 8 connections and the kinds above.
ServiceConfig TestConfig();

/// Returns the candidate number `index`, from 0, with uid index + 1.
Candidate TestCandidate(size_t index);

/// All actions of type T, in order.
template <typename T>
std::vector<T> Select(const AgentActions& actions) {
  std::vector<T> selected;
  for (const AgentAction& action : actions) {
    if (const T* found = std::get_if<T>(&action))
      selected.push_back(*found);
  }
  return selected;
}

/// One agent with a separate clock. `index` is its index in TestCandidate().
class TestAgent {
 public:
  explicit TestAgent(size_t index,
                     AgentLimits limits = {},
                     AgentPolicy policy = {},
                     const ServiceConfig& config = TestConfig());

  AgentCore& core() { return *core_; }
  absl::Time now() const { return now_; }

  /// Advances the clock by `time`, with a tick at least every second.
  AgentActions Advance(absl::Duration time);
  /// Advances the clock by `time` without a tick, then ticks once.
  AgentActions Pause(absl::Duration time);

  /// Sends a request whose candidates are the first `candidates` test
  /// candidates and whose position is this agent's index.
  AgentActions Send(const Request& request, size_t candidates = 1);
  AgentActions Send(const Forward& forward) {
    return core_->OnForward(now_, forward);
  }
  Forward Wrap(CallerMessage message, size_t candidates = 1) const;

  /// Obtains a binding for `flow`; the request id used is `flow` too.
  Binding Bind(uint64_t flow);
  /// Sends a request that must start at once, and returns its run.
  RunId Start(const Request& request, size_t candidates = 1);
  /// Ends the run with an answer.
  AgentActions End(RunId run, absl::string_view body, uint16_t status = 200);
  AgentActions End(RunId run, RunResult::Kind kind);

 private:
  const size_t index_;
  std::unique_ptr<AgentCore> core_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
};

/// Returns a request with a deadline of 8 s; its flow is 1 and opening.
Request MakeRequest(uint64_t id,
                    absl::string_view kind,
                    absl::optional<Binding> binding = absl::nullopt);

/// Returns the only answer in `actions`; fails the test when there is not
/// exactly one.
Answer OnlyAnswer(const AgentActions& actions);
/// Returns the only run started in `actions`, likewise.
StartRun OnlyStart(const AgentActions& actions);
/// Returns the only message forwarded in `actions`, likewise.
SendForward OnlyForward(const AgentActions& actions);

/// Returns the only answer in `actions`; fails the test when it has another
/// outcome or reason, or when a run starts.
Answer Expect(const AgentActions& actions, Outcome outcome, Reason reason);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_UNITTESTS_FLOWS_AGENT_TEST_SUPPORT_H_
