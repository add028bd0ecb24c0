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
        next_contact_seed_(options.random_seed) {
    if (self_.sequence == 0)
      self_.sequence = 1;
    join_sequence_ = self_.sequence;
    // Agents that start together do not all ask the same seed first.
    std::vector<Endpoint> seeds = std::move(options.seeds);
    if (!seeds.empty()) {
      std::rotate(seeds.begin(),
                  seeds.begin() + static_cast<std::ptrdiff_t>(
                                      next_contact_seed_ % seeds.size()),
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
  void CheckPause(absl::Time now);
  void OnAck(absl::Time now,
             const HeartbeatAck& ack,
             AgentControlActions& actions);
  void CompareKnown(absl::Time now, const HeartbeatAck& ack);
  void Want(absl::Time now, Incarnation incarnation);
  void RequestIncarnation(absl::Time now, AgentControlActions& actions);
  void TakeService(const ConfigRecord& record, AgentControlActions& actions);
  void TakeDrain(const ConfigRecord& record, AgentControlActions& actions);
  void UpdateApplied(absl::Time now);
  void SendHeartbeats(absl::Time now, AgentControlActions& actions);
  Heartbeat MakeHeartbeat(const RelayLinks::Link& link) const;
  void StartJoin();
  void SendSoon();

  InstanceRecord self_;
  const std::string service_name_;
  const uint64_t next_contact_seed_;
  RelayLinks relays_;

  ConfigRecord service_record_;
  ConfigRecord drain_record_;
  Revision applied_{};
  absl::Time applied_raised_ = absl::InfinitePast();

  /// Until the first acknowledgement under this uid and incarnation only one
  /// relay gets heartbeats, so that what it knew cannot stem from this run.
  bool joined_ = false;
  uint64_t join_heartbeats_ = 0;
  /// Own sequence at the start of the join; answers to lower ones are not
  /// compared.
  uint64_t join_sequence_ = 0;
  /// The incarnation that the agent core must take before the next heartbeat
  /// (after a pause) or soon (a relay knows a higher one); 0 if none.
  Incarnation wanted_{};
  absl::Time next_request_ = absl::InfiniteFuture();
  bool silent_ = false;

  absl::Time last_tick_ = absl::InfiniteFuture();
  absl::Time next_directory_ = absl::InfinitePast();
};

AgentControlActions AgentControlImpl::OnTick(absl::Time now) {
  CheckPause(now);
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
  CheckPause(now);
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
  CheckPause(now);
  self_.state = state;
  ++self_.sequence;
  SendSoon();
  if (incarnation > self_.incarnation) {
    self_.incarnation = incarnation;
    StartJoin();
    silent_ = false;
  }
  if (wanted_ != Incarnation{} && self_.incarnation >= wanted_) {
    wanted_ = Incarnation{};
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

void AgentControlImpl::CheckPause(absl::Time now) {
  if (now - last_tick_ <= kSuspensionThreshold)
    return;
  // The relays may have reported this run dead and moved its flows. Nothing
  // more is announced under the old incarnation.
  last_tick_ = now;
  silent_ = true;
  relays_.OnPause(now);
  Want(now + kIncarnationRetry, Incarnation{ToNumber(self_.incarnation) + 1});
}

void AgentControlImpl::OnAck(absl::Time now,
                             const HeartbeatAck& ack,
                             AgentControlActions& actions) {
  relays_.OnEntries(now, self_.region, ack.entries);
  CompareKnown(now, ack);
  RequestIncarnation(now, actions);
  const std::string service_key = absl::StrCat(kServicePrefix, service_name_);
  for (const ConfigRecord& record : ack.config) {
    if (record.key == service_key)
      TakeService(record, actions);
  }
  // The key of the drain order holds the uid, which the service may change.
  const std::string drain_key =
      absl::StrCat(kDrainPrefix, ToHex(ToNumber(self_.uid)));
  for (const ConfigRecord& record : ack.config) {
    if (record.key == drain_key)
      TakeDrain(record, actions);
  }
}

void AgentControlImpl::CompareKnown(absl::Time now, const HeartbeatAck& ack) {
  if (ack.answered_sequence < join_sequence_)
    return;
  const Incarnation known = ack.known_incarnation;
  if (known > self_.incarnation) {
    Want(now, Incarnation{ToNumber(known) + 1});
    return;
  }
  const bool answers_join = !joined_;
  if (known == self_.incarnation) {
    // This run has sent one heartbeat only, so the relay's knowledge stems from
    // an earlier run; so does a sequence that this run has not reached.
    const bool earlier_run = (answers_join && join_heartbeats_ == 1) ||
                             ack.known_sequence > self_.sequence;
    if (earlier_run) {
      Want(now, Incarnation{ToNumber(known) + 1});
      return;
    }
    const bool reported_down = ack.known_state == InstanceState::kDown &&
                               ack.known_sequence == self_.sequence;
    if (reported_down && !silent_) {
      ++self_.sequence;
      SendSoon();
    }
  }
  if (answers_join)
    joined_ = self_.uid != InstanceUid{} && self_.service != ServiceUid{};
}

void AgentControlImpl::Want(absl::Time request_at, Incarnation incarnation) {
  if (incarnation <= wanted_)
    return;
  wanted_ = incarnation;
  next_request_ = request_at;
}

void AgentControlImpl::RequestIncarnation(absl::Time now,
                                          AgentControlActions& actions) {
  if (wanted_ == Incarnation{} || now < next_request_)
    return;
  next_request_ = now + kIncarnationRetry;
  actions.push_back(RaiseIncarnation{wanted_});
}

void AgentControlImpl::TakeService(const ConfigRecord& record,
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
    // A new service under the old name: another target, which no drain order
    // or report of the old one concerns.
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

void AgentControlImpl::TakeDrain(const ConfigRecord& record,
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
  if (applied_ <= self_.applied || now - applied_raised_ < kAppliedInterval)
    return;
  applied_raised_ = now;
  self_.applied = applied_;
  ++self_.sequence;
}

void AgentControlImpl::SendHeartbeats(absl::Time now,
                                      AgentControlActions& actions) {
  if (silent_)
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
  SendSoon();
}

void AgentControlImpl::SendSoon() {
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
