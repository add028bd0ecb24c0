#include "relay_links.h"

#include <algorithm>

#include "skylarkshunt/control/timing.h"
#include "skylarkshunt/membership/rendezvous.h"

namespace skylarkshunt {

void RelayLinks::AddContacts(absl::Span<const Endpoint> contacts) {
  for (Endpoint contact : contacts) {
    const bool held = std::find(contacts_.begin(), contacts_.end(), contact) !=
                      contacts_.end();
    if (held || contact == Endpoint{})
      continue;
    // The newest directory counts more than an old contact.
    if (contacts_.size() >= kMaxContacts)
      contacts_.erase(contacts_.begin());
    contacts_.push_back(contact);
  }
}

void RelayLinks::OnEntries(absl::Time now,
                           absl::string_view region,
                           absl::Span<const InstanceRecord> entries) {
  for (const InstanceRecord& entry : entries) {
    if (entry.role != Role::kEntry || entry.region != region ||
        entry.state >= InstanceState::kLeaving) {
      continue;
    }
    if (known_.contains(entry.uid) || known_.size() < kMaxKnownEntries)
      known_[entry.uid] = {entry, now};
  }
}

void RelayLinks::OnAck(absl::Time now, Endpoint relay) {
  for (Link& link : links_) {
    if (link.relay != relay)
      continue;
    link.last_ack = now;
    link.unanswered = 0;
  }
}

void RelayLinks::OnFailed(absl::Time now, Endpoint relay) {
  auto it = std::find_if(links_.begin(), links_.end(),
                         [relay](const Link& l) { return l.relay == relay; });
  if (it == links_.end())
    return;
  links_.erase(it);
  passed_over_until_[relay] = now + kRelayBackoff;
}

void RelayLinks::Update(absl::Time now, uint64_t key, size_t count) {
  absl::erase_if(passed_over_until_,
                 [now](const auto& item) { return item.second <= now; });
  absl::erase_if(known_, [now](const auto& item) {
    return now - item.second.listed >= kEntryRetention;
  });
  FailSilentLinks(now);
  const std::vector<Endpoint> chosen = Choose(now, key, count);
  const auto is_chosen = [&chosen](const Link& link) {
    return std::find(chosen.begin(), chosen.end(), link.relay) != chosen.end();
  };
  links_.erase(
      std::remove_if(links_.begin(), links_.end(),
                     [&](const Link& link) { return !is_chosen(link); }),
      links_.end());
  for (Endpoint relay : chosen) {
    const bool open =
        std::any_of(links_.begin(), links_.end(),
                    [relay](const Link& link) { return link.relay == relay; });
    if (!open)
      links_.push_back({relay, now});
  }
}

void RelayLinks::OnPause(absl::Time now) {
  for (Link& link : links_)
    link.opened = now;
}

bool RelayLinks::IsPassedOver(absl::Time now, Endpoint relay) const {
  auto it = passed_over_until_.find(relay);
  return it != passed_over_until_.end() && it->second > now;
}

void RelayLinks::FailSilentLinks(absl::Time now) {
  std::vector<Endpoint> silent;
  for (const Link& link : links_) {
    const absl::Time since = std::max(link.opened, link.last_ack);
    if (link.unanswered > 0 && now - since >= kAckTimeout)
      silent.push_back(link.relay);
  }
  for (Endpoint relay : silent)
    OnFailed(now, relay);
}

std::vector<Endpoint> RelayLinks::Choose(absl::Time now,
                                         uint64_t key,
                                         size_t count) {
  std::vector<const InstanceRecord*> candidates;
  for (const auto& item : known_) {
    if (!IsPassedOver(now, item.second.record.control))
      candidates.push_back(&item.second.record);
  }
  std::vector<Endpoint> chosen;
  for (const InstanceRecord* entry : RankEntries(key, candidates, count))
    chosen.push_back(entry->control);
  if (!chosen.empty())
    return chosen;
  // A link that answers stays, for example to the only seed, which is in
  // another region.
  if (!links_.empty())
    return {links_.front().relay};
  if (const absl::optional<Endpoint> contact = ChooseContact(now))
    chosen.push_back(*contact);
  return chosen;
}

absl::optional<Endpoint> RelayLinks::ChooseContact(absl::Time now) {
  for (size_t i = 0; i < contacts_.size(); ++i) {
    const Endpoint contact = contacts_[next_contact_++ % contacts_.size()];
    if (!IsPassedOver(now, contact))
      return contact;
  }
  return absl::nullopt;
}

}  // namespace skylarkshunt
