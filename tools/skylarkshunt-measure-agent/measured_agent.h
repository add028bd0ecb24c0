#ifndef SKYLARKSHUNT_TOOLS_MEASURE_AGENT_MEASURED_AGENT_H_
#define SKYLARKSHUNT_TOOLS_MEASURE_AGENT_MEASURED_AGENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "absl/strings/string_view.h"
#include "absl/types/optional.h"
#include "skylarkshunt/flows/agent_core.h"

namespace skylarkshunt {

/// Kinds of the measured service: a report is not idempotent, a pull is.
inline constexpr char kReport[] = "report";
inline constexpr char kPull[] = "pull";

/// An agent core with a clock that moves one microsecond per event. Not
/// thread-safe.
class MeasuredAgent {
 public:
  struct Options {
    uint32_t connections = 1;
    uint16_t slots = 1;
    size_t body_bytes = 0;
    uint64_t seed = 1;
  };

  /// Errors: those of AgentCore::Create().
  static Result<std::unique_ptr<MeasuredAgent>> Create(const Options& options);

  /// Sends request `id` of the flow of the same number.
  AgentActions Send(absl::string_view kind,
                    uint64_t id,
                    const absl::optional<Binding>& binding);
  /// Ends the run that `actions` start with an answer of `bytes`. Returns false
  /// when they start none.
  bool EndRun(const AgentActions& actions, size_t bytes);
  /// Says that the answer to request `id` has arrived.
  void SendDone(uint64_t id);

  AgentStats Stats() const { return core_->Stats(); }

 private:
  MeasuredAgent(const Options& options, std::unique_ptr<AgentCore> core);

  absl::Time NextTime();
  Forward WrapMessage(CallerMessage message) const;

  std::unique_ptr<AgentCore> core_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  Forward request_;
};

/// Returns the binding in the only answer of `actions`, if there is one.
absl::optional<Binding> BindingIn(const AgentActions& actions);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_TOOLS_MEASURE_AGENT_MEASURED_AGENT_H_
