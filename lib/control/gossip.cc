#include "gossip.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "skylarkshunt/control/timing.h"

namespace skylarkshunt {
namespace {

constexpr BucketMask kAllBuckets = ~BucketMask{0};
constexpr int kDraws = 8;

BucketMask Bit(size_t bucket) {
  return BucketMask{1} << bucket;
}

bool SameVersion(const InstanceRecord& a, const InstanceRecord& b) {
  return a.incarnation == b.incarnation && a.sequence == b.sequence &&
         a.state == b.state;
}

/// Removes from `ours` the records that `theirs` holds in the same version.
void RemoveKnown(const std::vector<InstanceRecord>& theirs,
                 std::vector<InstanceRecord>& ours) {
  absl::flat_hash_map<InstanceUid, const InstanceRecord*> known;
  for (const InstanceRecord& record : theirs)
    known[record.uid] = &record;
  ours.erase(std::remove_if(ours.begin(), ours.end(),
                            [&known](const InstanceRecord& record) {
                              auto it = known.find(record.uid);
                              return it != known.end() &&
                                     SameVersion(*it->second, record);
                            }),
             ours.end());
}

template <typename Record>
size_t BytesOf(const std::vector<Record>& records) {
  size_t bytes = 0;
  for (const Record& record : records)
    bytes += EncodedBound(record);
  return bytes;
}

/// The records of one bucket that are to be handed on.
struct BucketContent {
  std::vector<const InstanceRecord*> instances;
  std::vector<const ConfigRecord*> config;
};

/// Appends what fits into one message, of which `bytes` are used. Returns
/// whether everything did.
template <typename Record>
bool AppendThatFit(const std::vector<const Record*>& records,
                   size_t& bytes,
                   std::vector<Record>& list) {
  bool complete = true;
  for (const Record* record : records) {
    const size_t size = EncodedBound(*record);
    if (bytes + size > kRecordBytesPerMessage) {
      complete = false;
      continue;
    }
    bytes += size;
    list.push_back(*record);
  }
  return complete;
}

}  // namespace

Gossip::Gossip(EntryState& state, uint64_t random_seed)
    : state_(state), random_(random_seed) {}

void Gossip::AddContacts(absl::Span<const Endpoint> contacts) {
  for (Endpoint contact : contacts) {
    if (contact == state_.self.control || contact == Endpoint{})
      continue;
    if (std::find(contacts_.begin(), contacts_.end(), contact) !=
        contacts_.end()) {
      continue;
    }
    if (contacts_.size() < kMaxContacts)
      contacts_.push_back(contact);
    else
      contacts_[Draw(contacts_.size())] = contact;
  }
}

void Gossip::Tick(absl::Time now, EntryControlActions& actions) {
  ExpireUnanswered(now);
  if (now < next_push_)
    return;
  // Keeps the rhythm in spite of ticks that come late, without catching up.
  next_push_ = std::max(next_push_ + kGossipInterval,
                        now + kGossipInterval - kControlTick);
  const absl::optional<Endpoint> peer = NextPeer(now);
  if (!peer)
    return;
  ++pushes_;
  unanswered_[*peer] = now;
  actions.push_back(SendControl{*peer, MakePush(*peer)});
}

uint64_t Gossip::HashOf(size_t bucket) const {
  return state_.table.hashes()[bucket] ^ state_.store.hashes()[bucket];
}

std::vector<uint64_t> Gossip::Digest() const {
  std::vector<uint64_t> digest(kBuckets);
  for (size_t bucket = 0; bucket < kBuckets; ++bucket)
    digest[bucket] = HashOf(bucket);
  return digest;
}

GossipPush Gossip::MakePush(Endpoint peer) {
  GossipPush push;
  push.sender = state_.self;
  recent_.Take(state_, kAllBuckets, push.instances, push.config);
  AddTransfer(peer, push);
  push.digest = Digest();
  return push;
}

void Gossip::AddTransfer(Endpoint peer, GossipPush& push) {
  if (transfers_.empty())
    return;
  const InstanceRecord* record = state_.table.Find(transfers_.front().peer);
  if (record == nullptr || record->control != peer)
    return;
  const Transfer transfer = std::move(transfers_.front());
  transfers_.pop_front();
  // What does not fit follows after a later comparison of digests.
  size_t bytes = BytesOf(push.instances) + BytesOf(push.config);
  for (InstanceUid uid : transfer.instances) {
    const InstanceRecord* held = state_.table.Find(uid);
    if (held == nullptr || bytes + EncodedBound(*held) > kRecordBytesPerMessage)
      continue;
    bytes += EncodedBound(*held);
    push.instances.push_back(*held);
  }
  for (const std::string& key : transfer.keys) {
    const ConfigRecord* held = state_.store.Find(key);
    if (held == nullptr || bytes + EncodedBound(*held) > kRecordBytesPerMessage)
      continue;
    bytes += EncodedBound(*held);
    push.config.push_back(*held);
  }
}

GossipReply Gossip::MakeReply(absl::Time now, const GossipPush& push) {
  GossipReply reply;
  reply.sender = state_.self;
  const BucketMask differing = Compare(now, push.digest);
  recent_.Take(state_, differing, reply.instances, reply.config);
  RemoveKnown(push.instances, reply.instances);
  AddBuckets(now, DueBuckets(now, differing, push.digest), reply);
  return reply;
}

BucketMask Gossip::Compare(absl::Time now, absl::Span<const uint64_t> digest) {
  BucketMask differing = 0;
  if (digest.size() != kBuckets)
    return differing;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    BucketView& view = buckets_[bucket];
    if (view.hash != HashOf(bucket)) {
      view.hash = HashOf(bucket);
      view.changed = now;
    }
    if (view.hash == digest[bucket]) {
      view.differs_since = absl::InfiniteFuture();
      continue;
    }
    view.differs_since = std::min(view.differs_since, now);
    differing |= Bit(bucket);
  }
  return differing;
}

BucketMask Gossip::DueBuckets(absl::Time now,
                              BucketMask differing,
                              absl::Span<const uint64_t> digest) {
  BucketMask due = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    if ((differing & Bit(bucket)) == 0)
      continue;
    const BucketView& view = buckets_[bucket];
    const absl::Duration differs = now - view.differs_since;
    const bool settled = differs >= kBucketExchangeDelay &&
                         now - view.changed >= kBucketQuietPeriod;
    if (view.hash == 0 || digest[bucket] == 0 || settled ||
        differs >= kBucketExchangeTimeout) {
      due |= Bit(bucket);
    }
  }
  return due;
}

void Gossip::AddBuckets(absl::Time now, BucketMask due, GossipReply& reply) {
  if (due == 0)
    return;
  std::array<BucketContent, kBuckets> contents;
  state_.table.ForEachToPropagate(now, due, [&](const InstanceRecord& record) {
    contents[BucketOf(record.uid)].instances.push_back(&record);
  });
  state_.store.ForEachToPropagate(now, due, [&](const ConfigRecord& record) {
    contents[BucketOf(record.key)].config.push_back(&record);
  });
  size_t bytes = BytesOf(reply.instances) + BytesOf(reply.config);
  // A random first bucket, and a random order within it, so that later rounds
  // bring what does not fit into this one.
  const size_t first = Draw(kBuckets);
  for (size_t i = 0; i < kBuckets; ++i) {
    const size_t bucket = (first + i) % kBuckets;
    if ((due & Bit(bucket)) == 0)
      continue;
    BucketContent& content = contents[bucket];
    std::shuffle(content.config.begin(), content.config.end(), random_);
    const bool complete =
        AppendThatFit(content.instances, bytes, reply.instances) &&
        AppendThatFit(content.config, bytes, reply.config);
    if (!complete)
      return;
    reply.differing_buckets.push_back(static_cast<uint32_t>(bucket));
  }
}

void Gossip::OnReply(absl::Time now, const GossipReply& reply) {
  unanswered_.erase(reply.sender.control);
  passed_over_until_.erase(reply.sender.control);
  BucketMask wanted = 0;
  for (uint32_t bucket : reply.differing_buckets)
    wanted |= Bit(bucket % kBuckets);
  if (wanted == 0 || transfers_.size() >= kMaxPendingTransfers)
    return;
  absl::flat_hash_map<InstanceUid, const InstanceRecord*> theirs;
  for (const InstanceRecord& record : reply.instances)
    theirs[record.uid] = &record;
  absl::flat_hash_map<absl::string_view, Revision> their_config;
  for (const ConfigRecord& record : reply.config)
    their_config[record.key] = record.revision;
  Transfer transfer;
  transfer.peer = reply.sender.uid;
  state_.table.ForEachToPropagate(
      now, wanted, [&](const InstanceRecord& record) {
        auto it = theirs.find(record.uid);
        if (it == theirs.end() || !SameVersion(*it->second, record))
          transfer.instances.push_back(record.uid);
      });
  state_.store.ForEachToPropagate(now, wanted, [&](const ConfigRecord& record) {
    auto it = their_config.find(record.key);
    if (it == their_config.end() || it->second != record.revision)
      transfer.keys.push_back(record.key);
  });
  if (!transfer.instances.empty() || !transfer.keys.empty())
    transfers_.push_back(std::move(transfer));
}

void Gossip::OnSendFailed(absl::Time now, Endpoint peer) {
  // Another peer is tried at once: this push reached nobody.
  if (unanswered_.erase(peer) > 0)
    next_push_ = now;
  passed_over_until_[peer] = now + kPeerBackoff;
}

absl::optional<Endpoint> Gossip::NextPeer(absl::Time now) {
  while (!transfers_.empty()) {
    const InstanceRecord* peer = state_.table.Find(transfers_.front().peer);
    if (peer != nullptr && !IsPassedOver(now, peer->control))
      return peer->control;
    transfers_.pop_front();
  }
  const bool contact_first =
      pushes_ % kPushesPerContact == kPushesPerContact - 1;
  absl::optional<Endpoint> peer =
      contact_first ? RandomContact(now) : RandomLivePeer(now);
  if (!peer)
    peer = contact_first ? RandomLivePeer(now) : RandomContact(now);
  return peer;
}

absl::optional<Endpoint> Gossip::RandomLivePeer(absl::Time now) {
  const std::vector<const InstanceRecord*>& peers = state_.LivePeers();
  for (int i = 0; i < kDraws && !peers.empty(); ++i) {
    const Endpoint peer = peers[Draw(peers.size())]->control;
    if (!IsPassedOver(now, peer))
      return peer;
  }
  return absl::nullopt;
}

absl::optional<Endpoint> Gossip::RandomContact(absl::Time now) {
  absl::flat_hash_set<Endpoint> live;
  for (const InstanceRecord* peer : state_.LivePeers())
    live.insert(peer->control);
  std::vector<Endpoint> candidates;
  for (Endpoint contact : contacts_) {
    if (!live.contains(contact) && !IsPassedOver(now, contact))
      candidates.push_back(contact);
  }
  state_.table.ForEach([&](const InstanceRecord& record) {
    const bool down_entry =
        record.role == Role::kEntry && record.state == InstanceState::kDown;
    if (down_entry && !IsPassedOver(now, record.control))
      candidates.push_back(record.control);
  });
  if (candidates.empty())
    return absl::nullopt;
  std::sort(candidates.begin(), candidates.end(), [](Endpoint a, Endpoint b) {
    return a.address != b.address ? a.address < b.address : a.port < b.port;
  });
  return candidates[Draw(candidates.size())];
}

bool Gossip::IsPassedOver(absl::Time now, Endpoint peer) {
  auto it = passed_over_until_.find(peer);
  return it != passed_over_until_.end() && it->second > now;
}

void Gossip::ExpireUnanswered(absl::Time now) {
  absl::erase_if(passed_over_until_,
                 [now](const auto& item) { return item.second <= now; });
  absl::erase_if(unanswered_, [this, now](const auto& item) {
    if (now - item.second < kGossipReplyTimeout)
      return false;
    passed_over_until_[item.first] = now + kPeerBackoff;
    return true;
  });
}

}  // namespace skylarkshunt
