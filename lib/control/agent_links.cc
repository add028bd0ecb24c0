#include "agent_links.h"

#include "absl/strings/str_cat.h"
#include "skylarkshunt/control/timing.h"
#include "skylarkshunt/membership/rendezvous.h"

namespace skylarkshunt {

HeartbeatAck AgentLinks::Answer(absl::Time now,
                                ConnectionId connection,
                                const Heartbeat& heartbeat,
                                const InstanceRecord& known) {
  Link untracked;
  const bool tracked =
      links_.contains(connection) || links_.size() < kMaxAgentLinks;
  Link& link = tracked ? links_[connection] : untracked;
  if (link.agent != heartbeat.record.uid)
    link = Link{heartbeat.record.uid};
  link.heard = now;
  HeartbeatAck ack;
  ack.sender = state_.self.incarnation;
  ack.answered_sequence = heartbeat.record.sequence;
  ack.known_incarnation = known.incarnation;
  ack.known_sequence = known.sequence;
  ack.known_state = known.state;
  const bool list_due = now - link.listed >= kEntryListInterval;
  AddConfig(heartbeat, list_due, link, ack);
  if (list_due) {
    link.listed = now;
    AddEntries(heartbeat.record, ack);
  }
  return ack;
}

void AgentLinks::AddConfig(const Heartbeat& heartbeat,
                           bool repeat_drain,
                           Link& link,
                           HeartbeatAck& ack) const {
  const ConfigRecord* service =
      state_.store.Find(absl::StrCat(kServicePrefix, heartbeat.service_name));
  if (service != nullptr && service->revision > heartbeat.service_revision)
    ack.config.push_back(*service);
  const ConfigRecord* drain = state_.store.Find(
      absl::StrCat(kDrainPrefix, ToHex(ToNumber(heartbeat.record.uid))));
  // An answer may be lost, so the order is repeated at times.
  if (drain == nullptr || (drain->revision <= link.drain && !repeat_drain))
    return;
  link.drain = drain->revision;
  ack.config.push_back(*drain);
}

void AgentLinks::AddEntries(const InstanceRecord& agent, HeartbeatAck& ack) {
  std::vector<const InstanceRecord*> entries;
  if (agent.region == state_.self.region) {
    entries = state_.RegionEntries();
  } else {
    for (const InstanceRecord* peer : state_.LivePeers()) {
      if (peer->region == agent.region &&
          peer->state < InstanceState::kLeaving) {
        entries.push_back(peer);
      }
    }
  }
  for (const InstanceRecord* entry :
       RankEntries(RelayKey(agent), entries, kMaxListedEntries)) {
    ack.entries.push_back(*entry);
  }
}

void AgentLinks::DropIdle(absl::Time now) {
  absl::erase_if(links_, [now](const auto& item) {
    return now - item.second.heard >= kLinkRetention;
  });
}

}  // namespace skylarkshunt
