#include "skylarkshunt/control/entry_control.h"

#include <algorithm>

#include "agent_links.h"
#include "entry_state.h"
#include "gossip.h"
#include "monitoring.h"
#include "skylarkshunt/control/timing.h"
#include "watcher_role.h"

namespace skylarkshunt {
namespace {

using Urgency = RecentChanges::Urgency;

/// Joins the parts: merges what arrives and keeps this entry's own record.
class EntryControlImpl : public EntryControl {
 public:
  explicit EntryControlImpl(Options options)
      : state_(std::move(options.self)),
        gossip_(state_, options.random_seed),
        monitoring_(state_),
        links_(state_),
        watcher_(state_) {
    gossip_.AddContacts(options.seeds);
  }

  EntryControlActions OnTick(absl::Time now) override;
  EntryControlActions OnMessage(absl::Time now,
                                ConnectionId connection,
                                const ControlMessage& message) override;
  EntryControlActions OnSendFailed(absl::Time now, Endpoint peer) override;
  EntryControlActions OnPlatformChanges(
      absl::Time now,
      absl::Span<const ConfigRecord> changes) override;
  EntryControlActions OnPlatformList(
      absl::Time now,
      Revision revision,
      absl::Span<const ConfigRecord> objects) override;
  EntryControlActions OnDirectory(absl::Time now,
                                  absl::Span<const Endpoint> entries) override;
  EntryControlActions OnShutdown(absl::Time now) override;

  std::vector<InstanceRecord> Instances() const override;
  std::vector<ConfigRecord> Config() const override;
  const InstanceRecord& self() const override { return state_.self; }

 private:
  /// Where a configuration record comes from. The platform knows every key; a
  /// peer's tombstone of a key unknown here is old news.
  enum class Source { kPlatform, kPeer };

  /// Collects the outcome of one event.
  struct Event {
    explicit Event(absl::Time time) : now(time) {}

    absl::Time now;
    EntryControlActions actions;
    bool routing_changed = false;
    std::vector<InstanceUid> new_instances;
    std::vector<std::string> new_keys;
  };

  void Handle(const Heartbeat& heartbeat, ConnectionId from, Event& event);
  void Handle(const GossipPush& push, ConnectionId from, Event& event);
  void Handle(const GossipReply& reply, ConnectionId from, Event& event);
  void Handle(const Probe& probe, ConnectionId from, Event& event);
  void Handle(const ProbeReply& reply, ConnectionId from, Event& event);
  // Only agents take acknowledgements.
  void Handle(const HeartbeatAck&, ConnectionId, Event&) {}

  void MergeInstance(const InstanceRecord& record, Event& event);
  void MergeConfig(const ConfigRecord& record, Source source, Event& event);
  void Refute(const InstanceRecord& reported, Event& event);
  void PublishSelf(Urgency urgency, Event& event);
  void PublishDown(InstanceUid uid, Event& event);
  void UpdateApplied(Event& event);
  void DropExpired(Event& event);
  void Reply(ConnectionId to, ControlMessage message, Event& event);
  void Notice(ControlNotice notice, Event& event);
  void NoticeFull(ControlNotice notice, Event& event);
  EntryControlActions Finish(Event& event);

  EntryState state_;
  Gossip gossip_;
  Monitoring monitoring_;
  AgentLinks links_;
  WatcherRole watcher_;
  absl::Time last_tick_ = absl::InfiniteFuture();
  absl::Time applied_raised_ = absl::InfinitePast();
  absl::Time next_expiry_ = absl::InfinitePast();
  absl::Time next_full_notice_ = absl::InfinitePast();
};

EntryControlActions EntryControlImpl::OnTick(absl::Time now) {
  Event event(now);
  // The others' messages waited as long as this process did.
  if (now - last_tick_ > kSuspensionThreshold)
    monitoring_.OnPause(now);
  last_tick_ = now;
  for (InstanceUid uid : monitoring_.Tick(now, event.actions))
    PublishDown(uid, event);
  UpdateApplied(event);
  gossip_.Tick(now, event.actions);
  watcher_.Tick(now, event.actions);
  DropExpired(event);
  return Finish(event);
}

EntryControlActions EntryControlImpl::OnMessage(absl::Time now,
                                                ConnectionId connection,
                                                const ControlMessage& message) {
  Event event(now);
  std::visit([&](const auto& m) { Handle(m, connection, event); }, message);
  return Finish(event);
}

EntryControlActions EntryControlImpl::OnSendFailed(absl::Time now,
                                                   Endpoint peer) {
  gossip_.OnSendFailed(now, peer);
  return {};
}

EntryControlActions EntryControlImpl::OnPlatformChanges(
    absl::Time now,
    absl::Span<const ConfigRecord> changes) {
  Event event(now);
  for (const ConfigRecord& change : changes)
    MergeConfig(change, Source::kPlatform, event);
  return Finish(event);
}

EntryControlActions EntryControlImpl::OnPlatformList(
    absl::Time now,
    Revision revision,
    absl::Span<const ConfigRecord> objects) {
  Event event(now);
  for (const ConfigRecord& object : objects)
    MergeConfig(object, Source::kPlatform, event);
  for (const ConfigRecord& tombstone :
       state_.store.MissingFrom(revision, objects)) {
    MergeConfig(tombstone, Source::kPlatform, event);
  }
  return Finish(event);
}

EntryControlActions EntryControlImpl::OnDirectory(
    absl::Time /*now*/,
    absl::Span<const Endpoint> entries) {
  gossip_.AddContacts(entries);
  return {};
}

EntryControlActions EntryControlImpl::OnShutdown(absl::Time now) {
  Event event(now);
  if (state_.self.state != InstanceState::kLeaving) {
    state_.self.state = InstanceState::kLeaving;
    ++state_.self.sequence;
    PublishSelf(Urgency::kRouting, event);
  }
  return Finish(event);
}

std::vector<InstanceRecord> EntryControlImpl::Instances() const {
  std::vector<InstanceRecord> records;
  records.reserve(state_.table.size());
  state_.table.ForEach(
      [&records](const InstanceRecord& record) { records.push_back(record); });
  return records;
}

std::vector<ConfigRecord> EntryControlImpl::Config() const {
  std::vector<ConfigRecord> records;
  records.reserve(state_.store.size());
  state_.store.ForEach(
      [&records](const ConfigRecord& record) { records.push_back(record); });
  return records;
}

void EntryControlImpl::Handle(const Heartbeat& heartbeat,
                              ConnectionId from,
                              Event& event) {
  const InstanceRecord& agent = heartbeat.record;
  if (agent.role != Role::kAgent)
    return;
  for (const ConfigRecord& record : heartbeat.config)
    MergeConfig(record, Source::kPeer, event);
  const InstanceRecord* held = state_.table.Find(agent.uid);
  const InstanceRecord known = held != nullptr ? *held : InstanceRecord{};
  const bool identified =
      agent.service != ServiceUid{} && agent.uid != InstanceUid{};
  if (identified) {
    MergeInstance(agent, event);
    // An older run of the process is no sign of life of the current one.
    if (agent.incarnation >= known.incarnation)
      monitoring_.RecordMessage(event.now, agent);
  }
  Reply(from, links_.Answer(event.now, from, heartbeat, known), event);
}

void EntryControlImpl::Handle(const GossipPush& push,
                              ConnectionId from,
                              Event& event) {
  MergeInstance(push.sender, event);
  monitoring_.RecordMessage(event.now, push.sender);
  for (const InstanceRecord& record : push.instances)
    MergeInstance(record, event);
  for (const ConfigRecord& record : push.config)
    MergeConfig(record, Source::kPeer, event);
  Reply(from, gossip_.MakeReply(event.now, push), event);
}

void EntryControlImpl::Handle(const GossipReply& reply,
                              ConnectionId /*from*/,
                              Event& event) {
  MergeInstance(reply.sender, event);
  monitoring_.RecordMessage(event.now, reply.sender);
  for (const InstanceRecord& record : reply.instances)
    MergeInstance(record, event);
  for (const ConfigRecord& record : reply.config)
    MergeConfig(record, Source::kPeer, event);
  gossip_.OnReply(event.now, reply);
}

void EntryControlImpl::Handle(const Probe& probe,
                              ConnectionId from,
                              Event& event) {
  Reply(from, monitoring_.Answer(event.now, probe), event);
}

void EntryControlImpl::Handle(const ProbeReply& reply,
                              ConnectionId /*from*/,
                              Event& event) {
  monitoring_.OnProbeReply(event.now, reply);
}

void EntryControlImpl::MergeInstance(const InstanceRecord& record,
                                     Event& event) {
  if (record.uid == InstanceUid{})
    return;
  if (record.uid == state_.self.uid) {
    Refute(record, event);
    return;
  }
  const MergeOutcome outcome = state_.table.Merge(event.now, record);
  const size_t peers = state_.LivePeers().size();
  switch (outcome) {
    case MergeOutcome::kUnchanged:
      gossip_.recent().OnSeenAgain(record.uid);
      return;
    case MergeOutcome::kRefused:
      NoticeFull({ControlNotice::Kind::kTableFull, record, {}}, event);
      return;
    case MergeOutcome::kRefreshed:
      gossip_.recent().AddInstance(record.uid, Urgency::kProgress, peers);
      return;
    case MergeOutcome::kAdded:
      // An unknown record that is down already needs no further spreading.
      if (record.state != InstanceState::kDown)
        event.new_instances.push_back(record.uid);
      break;
    case MergeOutcome::kChanged:
      gossip_.recent().AddInstance(record.uid, Urgency::kRouting, peers);
      break;
  }
  if (record.role == Role::kEntry)
    state_.EntriesChanged();
  monitoring_.OnRecord(event.now, record);
  event.routing_changed = true;
  Notice({ControlNotice::Kind::kInstanceChanged, record, {}}, event);
}

void EntryControlImpl::MergeConfig(const ConfigRecord& record,
                                   Source source,
                                   Event& event) {
  const bool known = state_.store.Find(record.key) != nullptr;
  const ApplyOutcome outcome = state_.store.Apply(event.now, record);
  if (outcome == ApplyOutcome::kEqual)
    return;
  if (outcome == ApplyOutcome::kStale) {
    Notice({ControlNotice::Kind::kStaleConfigIgnored, {}, record}, event);
    return;
  }
  if (outcome == ApplyOutcome::kRefused) {
    NoticeFull({ControlNotice::Kind::kTableFull, {}, record}, event);
    return;
  }
  if (known || source == Source::kPlatform)
    gossip_.recent().AddConfig(record.key, state_.LivePeers().size());
  else if (!record.deleted)
    event.new_keys.push_back(record.key);
  event.routing_changed = true;
  Notice({ControlNotice::Kind::kConfigApplied, {}, record}, event);
}

void EntryControlImpl::Refute(const InstanceRecord& reported, Event& event) {
  InstanceRecord& self = state_.self;
  if (reported.incarnation < self.incarnation || !Supersedes(reported, self)) {
    return;
  }
  if (reported.incarnation > self.incarnation) {
    // An earlier run of this process had a clock that was ahead.
    self.incarnation = Incarnation{ToNumber(reported.incarnation) + 1};
    self.sequence = 1;
  } else {
    self.sequence = reported.sequence + 1;
  }
  PublishSelf(Urgency::kRouting, event);
  Notice({ControlNotice::Kind::kRefuted, self, {}}, event);
}

void EntryControlImpl::PublishSelf(Urgency urgency, Event& event) {
  state_.table.Merge(event.now, state_.self);
  state_.EntriesChanged();
  gossip_.recent().AddInstance(state_.self.uid, urgency,
                               state_.LivePeers().size());
}

void EntryControlImpl::PublishDown(InstanceUid uid, Event& event) {
  const InstanceRecord* held = state_.table.Find(uid);
  if (held == nullptr || held->state == InstanceState::kDown)
    return;
  InstanceRecord down = *held;
  down.state = InstanceState::kDown;
  MergeInstance(down, event);
}

void EntryControlImpl::UpdateApplied(Event& event) {
  if (state_.store.highest() <= state_.self.applied ||
      event.now - applied_raised_ < kAppliedInterval) {
    return;
  }
  applied_raised_ = event.now;
  state_.self.applied = state_.store.highest();
  ++state_.self.sequence;
  PublishSelf(Urgency::kProgress, event);
}

void EntryControlImpl::DropExpired(Event& event) {
  if (event.now < next_expiry_)
    return;
  next_expiry_ = event.now + kExpiryInterval;
  links_.DropIdle(event.now);
  state_.store.DropExpired(event.now);
  if (state_.table.DropExpired(event.now) > 0)
    event.routing_changed = true;
}

void EntryControlImpl::Reply(ConnectionId to,
                             ControlMessage message,
                             Event& event) {
  if (to != ConnectionId{})
    event.actions.push_back(ReplyControl{to, std::move(message)});
}

void EntryControlImpl::Notice(ControlNotice notice, Event& event) {
  event.actions.push_back(std::move(notice));
}

void EntryControlImpl::NoticeFull(ControlNotice notice, Event& event) {
  if (event.now < next_full_notice_)
    return;
  next_full_notice_ = event.now + kTableFullNoticeInterval;
  Notice(std::move(notice), event);
}

EntryControlActions EntryControlImpl::Finish(Event& event) {
  const size_t peers = state_.LivePeers().size();
  if (event.new_instances.size() <= kMaxNewToPropagate) {
    for (InstanceUid uid : event.new_instances)
      gossip_.recent().AddInstance(uid, Urgency::kRouting, peers);
  }
  if (event.new_keys.size() <= kMaxNewToPropagate) {
    for (const std::string& key : event.new_keys)
      gossip_.recent().AddConfig(key, peers);
  }
  if (event.routing_changed)
    event.actions.push_back(RoutingChanged{});
  return std::move(event.actions);
}

}  // namespace

Result<std::unique_ptr<EntryControl>> EntryControl::Create(Options options) {
  const InstanceRecord& self = options.self;
  const bool complete = self.uid != InstanceUid{} &&
                        self.incarnation != Incarnation{} &&
                        self.data != Endpoint{} && self.control != Endpoint{};
  if (self.role != Role::kEntry || !complete) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the entry's own record is incomplete",
                     "set role, uid, incarnation, data and control end point");
  }
  return std::unique_ptr<EntryControl>(
      std::make_unique<EntryControlImpl>(std::move(options)));
}

}  // namespace skylarkshunt
