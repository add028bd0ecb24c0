#ifndef SKYLARKSHUNT_FORWARDING_OPENING_REQUEST_H_
#define SKYLARKSHUNT_FORWARDING_OPENING_REQUEST_H_

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "skylarkshunt/forwarding/messages.h"
#include "skylarkshunt/forwarding/retry_history.h"
#include "skylarkshunt/forwarding/route_table.h"

namespace skylarkshunt {

/// Returns the message that asks an agent to open a flow of `route`. `opened`
/// is the time at which the client sent the first opening packet of the flow.
/// The objective runs from the first attempt at the request. The agent accepts
/// any wait. Precondition: the route has a share. Thread-safe.
ForwardedPacket MakeOpeningRequest(const Route& route,
                                   const FlowId& flow,
                                   const Attempt& attempt,
                                   absl::Time opened,
                                   absl::Span<const uint8_t> packet);

/// Marks an opening packet that the next agent must not decline for its load.
/// Thread-safe.
void MarkForced(ForwardedPacket& message);

/// Whether the agent that returned the packet was not allowed to decline it for
/// its load. Thread-safe.
bool IsForced(const ReturnedPacket& returned);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_FORWARDING_OPENING_REQUEST_H_
