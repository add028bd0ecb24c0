#ifndef SKYLARKSHUNT_FORWARDING_CONFIGURATION_EXCHANGE_H_
#define SKYLARKSHUNT_FORWARDING_CONFIGURATION_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "skylarkshunt/configuration/configuration_id.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/node_directory.h"
#include "skylarkshunt/forwarding/receiver_turn.h"

namespace skylarkshunt {

/// Decides which nodes are told what configuration this node has, and what
/// follows from their reports. A node reports to all others, or in a large
/// fleet to some that do the same, when it has a new configuration; to a node
/// that appears; and once a second to a few nodes in turn, which repairs lost
/// reports. Pure and not thread-safe. No method has a precondition.
class ConfigurationExchange {
 public:
  enum class Outcome : uint8_t {
    kEqual,
    kNewer,  ///< The node has a newer configuration, which should be fetched.
    kOlder,  ///< The node should get MakeReport().
  };

  /// `regular_receivers` is the number of nodes that get the regular report.
  explicit ConfigurationExchange(size_t regular_receivers)
      : regular_receivers_(regular_receivers) {}

  /// Returns the configuration of this node; version 0 if it has none.
  const ConfigurationId& held() const { return held_; }
  /// Records that this node has the configuration `held`. Returns the nodes to
  /// report it to.
  std::vector<uint32_t> SetHeld(const ConfigurationId& held,
                                NodeDirectory& nodes,
                                absl::Time now);
  ConfigurationReport MakeReport() const { return {held_}; }
  /// Compares the configuration of another node with held().
  Outcome OnReport(const ConfigurationReport& report) const;
  /// Returns the receivers of the regular report, of which there is one in a
  /// second.
  std::vector<uint32_t> NextReceivers(const NodeDirectory& nodes,
                                      absl::Time now);

 private:
  const size_t regular_receivers_;
  ConfigurationId held_;
  ReceiverTurn turn_;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_CONFIGURATION_EXCHANGE_H_
