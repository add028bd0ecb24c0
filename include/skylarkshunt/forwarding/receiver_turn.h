#ifndef SKYLARKSHUNT_FORWARDING_RECEIVER_TURN_H_
#define SKYLARKSHUNT_FORWARDING_RECEIVER_TURN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace skylarkshunt {

/// Selects the receivers of a periodic report in turn, so that its cost does
/// not grow with the fleet. Pure and not thread-safe.
class ReceiverTurn {
 public:
  /// Returns at most `limit` of the addresses in `present`: those that follow
  /// the last one returned, in ascending order and then from the lowest one.
  std::vector<uint32_t> Next(std::vector<uint32_t> present, size_t limit);

 private:
  uint32_t last_ = 0;
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_RECEIVER_TURN_H_
