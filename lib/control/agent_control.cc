#include "skylarkshunt/control/agent_control.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "drain_order.h"
#include "relay_links.h"
#include "service_identity.h"
#include "skylarkshunt/configuration/config_store.h"
#include "skylarkshunt/control/timing.h"
#include "skylarkshunt/membership/rendezvous.h"
#include "skylarkshunt/membership/timing.h"

namespace skylarkshunt {
namespace {

class AgentControlImpl : public AgentControl {
 public:
  explicit AgentControlImpl(Options options)
      : self_(std::move(options.self)),
        service_name_(std::move(options.service_name)),
        seed_offset_(options.random_seed) {
    if (self_.sequence == 0)
      self_.sequence = 1;
    join_sequence_ = self_.sequence;
    // Rotates the seeds so that agents that start together do not all contact
    // the same one first.
    std::vector<Endpoint> seeds = std::move(options.seeds);
    if (!seeds.empty()) {
      std::rotate(seeds.begin(),
                  seeds.begin() +
                      static_cast<std::ptrdiff_t>(seed_offset_ % seeds.size()),
                  seeds.end());
    }
    relays_.AddContacts(seeds);
  }

  AgentControlActions OnTick(absl::Time now) override;
  AgentControlActions OnMessage(absl::Time now,
                                Endpoint peer,
                                const ControlMessage& message) override;
  AgentControlActions OnSendFailed(absl::Time now, Endpoint peer) override;
  AgentControlActions OnDirectory(absl::Time now,
                                  absl::Span<const Endpoint> entries) override;
  AgentControlActions OnStateChanged(absl::Time now,
                                     InstanceState state,
                                     Incarnation incarnation) override;
  AgentControlActions OnApplied(absl::Time now, Revision revision) override;

  const InstanceRecord& self() const override { return self_; }

 private:
  void CheckSuspension(absl::Time now);
  void OnAck(absl::Time now,
             const HeartbeatAck& ack,
             AgentControlActions& actions);
  void CompareRelayRecord(absl::Time now, const HeartbeatAck& ack);
  void ScheduleIncarnationRequest(absl::Time now, Incarnation incarnation);
  void RequestIncarnation(absl::Time now, AgentControlActions& actions);
  void ApplyService(const ConfigRecord& record, AgentControlActions& actions);
  void ApplyDrain(const ConfigRecord& record, AgentControlActions& actions);
  void UpdateApplied(absl::Time now);
  void SendHeartbeats(absl::Time now, AgentControlActions& actions);
  Heartbeat MakeHeartbeat(const RelayLinks::Link& link) const;
  void StartJoin();
  void ScheduleHeartbeats();

  InstanceRecord self_;
  const std::string service_name_;
  const uint64_t seed_offset_;
  RelayLinks relays_;

  ConfigRecord service_record_;
  ConfigRecord drain_record_;
  Revision applied_{};
  absl::Time applied_updated_at_ = absl::InfinitePast();

  /// Whether a relay has acknowledged a heartbeat under this uid and
  /// incarnation. Before that only one relay gets heartbeats, so its record of
  /// the agent cannot come from this run.
  bool joined_ = false;
  uint64_t join_heartbeats_ = 0;
  /// Own sequence at the start of the join. Acknowledgements of lower ones are
  /// not compared.
  uint64_t join_sequence_ = 0;
  /// The incarnation requested from the agent core, 0 if none. After a
  /// suspension no heartbeat is sent before the core takes it; when a relay
  /// knows a higher one, heartbeats continue.
  Incarnation requested_incarnation_{};
  absl::Time next_request_ = absl::InfiniteFuture();
  bool heartbeats_suspended_ = false;

  absl::Time last_tick_ = absl::InfiniteFuture();
  absl::Time next_directory_ = absl::InfinitePast();
};

AgentControlActions AgentControlImpl::OnTick(absl::Time now) {
  CheckSuspension(now);
  last_tick_ = now;
  AgentControlActions actions;
  RequestIncarnation(now, actions);
  UpdateApplied(now);
  relays_.Update(now, RelayKey(self_), joined_ ? kRelays : 1);
  if (relays_.links().empty() && now >= next_directory_) {
    next_directory_ = now + kDirectoryRetry;
    actions.push_back(RequestDirectory{});
  }
  SendHeartbeats(now, actions);
  return actions;
}

AgentControlActions AgentControlImpl::OnMessage(absl::Time now,
                                                Endpoint peer,
                                                const ControlMessage& message) {
  CheckSuspension(now);
  AgentControlActions actions;
  const auto* ack = std::get_if<HeartbeatAck>(&message);
  if (ack == nullptr)
    return actions;
  relays_.OnAck(now, peer);
  OnAck(now, *ack, actions);
  return actions;
}

AgentControlActions AgentControlImpl::OnSendFailed(absl::Time now,
                                                   Endpoint peer) {
  relays_.OnFailed(now, peer);
  return {};
}

AgentControlActions AgentControlImpl::OnDirectory(
    absl::Time /*now*/,
    absl::Span<const Endpoint> entries) {
  relays_.AddContacts(entries);
  return {};
}

AgentControlActions AgentControlImpl::OnStateChanged(absl::Time now,
                                                     InstanceState state,
                                                     Incarnation incarnation) {
  CheckSuspension(now);
  self_.state = state;
  ++self_.sequence;
  ScheduleHeartbeats();
  if (incarnation > self_.incarnation) {
    self_.incarnation = incarnation;
    StartJoin();
    heartbeats_suspended_ = false;
  }
  if (requested_incarnation_ != Incarnation{} &&
      self_.incarnation >= requested_incarnation_) {
    requested_incarnation_ = Incarnation{};
    next_request_ = absl::InfiniteFuture();
  }
  return {};
}

AgentControlActions AgentControlImpl::OnApplied(absl::Time now,
                                                Revision revision) {
  applied_ = std::max(applied_, revision);
  UpdateApplied(now);
  return {};
}

void AgentControlImpl::CheckSuspension(absl::Time now) {
  if (now - last_tick_ <= kSuspensionThreshold)
    return;
  // The relays may have reported this run dead and its flows may have moved.
  // No more heartbeats are sent under the old incarnation.
  last_tick_ = now;
  heartbeats_suspended_ = true;
  relays_.OnSuspension(now);
  ScheduleIncarnationRequest(now + kIncarnationRetry,
                             Incarnation{ToNumber(self_.incarnation) + 1});
}

void AgentControlImpl::OnAck(absl::Time now,
                             const HeartbeatAck& ack,
                             AgentControlActions& actions) {
  relays_.OnEntries(now, self_.region, ack.entries);
  CompareRelayRecord(now, ack);
  RequestIncarnation(now, actions);
  const std::string service_key = absl::StrCat(kServicePrefix, service_name_);
  for (const ConfigRecord& record : ack.config) {
    if (record.key == service_key)
      ApplyService(record, actions);
  }
  // The drain key contains the uid, which ApplyService() may change.
  const std::string drain_key =
      absl::StrCat(kDrainPrefix, ToHex(ToNumber(self_.uid)));
  for (const ConfigRecord& record : ack.config) {
    if (record.key == drain_key)
      ApplyDrain(record, actions);
  }
}

void AgentControlImpl::CompareRelayRecord(absl::Time now,
                                          const HeartbeatAck& ack) {
  if (ack.answered_sequence < join_sequence_)
    return;
  const Incarnation known = ack.known_incarnation;
  if (known > self_.incarnation) {
    ScheduleIncarnationRequest(now, Incarnation{ToNumber(known) + 1});
    return;
  }
  const bool answers_join = !joined_;
  if (known == self_.incarnation) {
    // This run has sent only one heartbeat, so the relay's record comes from an
    // earlier run. So does a sequence that this run has not reached.
    const bool earlier_run = (answers_join && join_heartbeats_ == 1) ||
                             ack.known_sequence > self_.sequence;
    if (earlier_run) {
      ScheduleIncarnationRequest(now, Incarnation{ToNumber(known) + 1});
      return;
    }
    const bool reported_down = ack.known_state == InstanceState::kDown &&
                               ack.known_sequence == self_.sequence;
    if (reported_down && !heartbeats_suspended_) {
      ++self_.sequence;
      ScheduleHeartbeats();
    }
  }
  if (answers_join)
    joined_ = self_.uid != InstanceUid{} && self_.service != ServiceUid{};
}

void AgentControlImpl::ScheduleIncarnationRequest(absl::Time request_at,
                                                  Incarnation incarnation) {
  if (incarnation <= requested_incarnation_)
    return;
  requested_incarnation_ = incarnation;
  next_request_ = request_at;
}

void AgentControlImpl::RequestIncarnation(absl::Time now,
                                          AgentControlActions& actions) {
  if (requested_incarnation_ == Incarnation{} || now < next_request_)
    return;
  next_request_ = now + kIncarnationRetry;
  actions.push_back(RaiseIncarnation{requested_incarnation_});
}

void AgentControlImpl::ApplyService(const ConfigRecord& record,
                                    AgentControlActions& actions) {
  if (record.revision <= service_record_.revision) {
    if (record.revision < service_record_.revision) {
      actions.push_back(
          ControlNotice{ControlNotice::Kind::kStaleConfigIgnored, {}, record});
    }
    return;
  }
  service_record_ = record;
  const absl::optional<ServiceIdentity> identity = FindServiceIdentity(record);
  if (identity && identity->slots != self_.slots) {
    self_.slots = identity->slots;
    ++self_.sequence;
  }
  if (identity && identity->uid != self_.service) {
    // A new service under the old name makes this a different target. Drain
    // orders and state reports of the old one do not apply to it.
    self_.service = identity->uid;
    self_.uid = MakeTargetUid(identity->uid, self_.target.ToString());
    if (self_.state != InstanceState::kLeaving)
      self_.state = InstanceState::kServing;
    if (OrdersDrain(drain_record_))
      actions.push_back(DrainOrder{false});
    drain_record_ = {};
    ++self_.sequence;
    StartJoin();
  }
  actions.push_back(ServiceChanged{record});
  actions.push_back(
      ControlNotice{ControlNotice::Kind::kConfigApplied, self_, record});
}

void AgentControlImpl::ApplyDrain(const ConfigRecord& record,
                                  AgentControlActions& actions) {
  if (record.revision <= drain_record_.revision)
    return;
  const bool was_ordered = OrdersDrain(drain_record_);
  const bool ordered = OrdersDrain(record);
  drain_record_ = record;
  if (ordered != was_ordered)
    actions.push_back(DrainOrder{ordered});
}

void AgentControlImpl::UpdateApplied(absl::Time now) {
  if (applied_ <= self_.applied || now - applied_updated_at_ < kAppliedInterval)
    return;
  applied_updated_at_ = now;
  self_.applied = applied_;
  ++self_.sequence;
}

void AgentControlImpl::SendHeartbeats(absl::Time now,
                                      AgentControlActions& actions) {
  if (heartbeats_suspended_)
    return;
  for (RelayLinks::Link& link : relays_.links()) {
    if (now < link.next_heartbeat)
      continue;
    actions.push_back(SendControl{link.relay, MakeHeartbeat(link)});
    link.next_heartbeat = std::max(link.next_heartbeat + kHeartbeatInterval,
                                   now + kHeartbeatInterval - kControlTick);
    ++link.unanswered;
    ++join_heartbeats_;
  }
}

Heartbeat AgentControlImpl::MakeHeartbeat(const RelayLinks::Link& link) const {
  Heartbeat heartbeat;
  heartbeat.record = self_;
  heartbeat.service_revision = service_record_.revision;
  heartbeat.service_name = service_name_;
  const bool first = link.last_ack == absl::InfinitePast();
  if (first && service_record_.revision != Revision{})
    heartbeat.config.push_back(service_record_);
  return heartbeat;
}

void AgentControlImpl::StartJoin() {
  joined_ = false;
  join_heartbeats_ = 0;
  join_sequence_ = self_.sequence;
  ScheduleHeartbeats();
}

void AgentControlImpl::ScheduleHeartbeats() {
  for (RelayLinks::Link& link : relays_.links())
    link.next_heartbeat = absl::InfinitePast();
}

}  // namespace

Result<std::unique_ptr<AgentControl>> AgentControl::Create(Options options) {
  const InstanceRecord& self = options.self;
  const bool complete = self.incarnation != Incarnation{} &&
                        self.data != Endpoint{} && self.target != Endpoint{} &&
                        !options.service_name.empty();
  if (self.role != Role::kAgent || !complete) {
    return MakeError(
        ErrorKind::kInvalidArgument, "the agent's own record is incomplete",
        "set role, incarnation, data and target end point, and service name");
  }
  return std::unique_ptr<AgentControl>(
      std::make_unique<AgentControlImpl>(std::move(options)));
}

}  // namespace skylarkshunt
