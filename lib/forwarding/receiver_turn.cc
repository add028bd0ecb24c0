#include "skylarkshunt/forwarding/receiver_turn.h"

#include <algorithm>

namespace skylarkshunt {

std::vector<uint32_t> ReceiverTurn::Next(std::vector<uint32_t> present,
                                         size_t limit) {
  std::sort(present.begin(), present.end());
  std::rotate(present.begin(),
              std::upper_bound(present.begin(), present.end(), last_),
              present.end());
  if (present.size() > limit)
    present.resize(limit);
  if (!present.empty())
    last_ = present.back();
  return present;
}

}  // namespace skylarkshunt
