#include "fleet.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkshunt/configuration/service_config.h"

namespace skylarkshunt {
namespace {

constexpr uint16_t kControlPort = 7100;
constexpr uint16_t kDataPort = 7000;
constexpr size_t kDataCentres = 3;
// Connection numbers join the sender's index and life.
constexpr uint64_t kLives = 1000;

absl::Time ProcessorTime() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::TimeFromTimespec(time);
}

}  // namespace

template <typename Decide>
auto Fleet::Meter(Node& node, const Decide& decide) {
  const absl::Time start = node.metered ? ProcessorTime() : absl::Time();
  auto actions = decide();
  if (node.metered)
    node.processor += ProcessorTime() - start;
  return actions;
}

std::string ServiceKey(size_t index) {
  return absl::StrCat("services/service", index);
}

std::string ServiceBody(size_t index, uint64_t uid, const std::string& apply) {
  ServiceConfig config;
  config.uid = ServiceUid{uid};
  config.name = absl::StrCat("service", index);
  config.apply_id = apply;
  config.kinds.push_back({"pull", 1, true, absl::Milliseconds(50)});
  config.data_centres.push_back("dc0");
  return WriteServiceConfig(config);
}

Fleet::Fleet(Options options)
    : options_(options),
      random_(options.seed),
      nodes_(options.entries + options.agents),
      held_(nodes_.size()) {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    InstanceRecord& self = nodes_[i].self;
    const bool entry = i < options.entries;
    const auto address = static_cast<uint32_t>(0x0a000001 + i);
    self.role = entry ? Role::kEntry : Role::kAgent;
    self.region = absl::StrCat("region", i % options.regions);
    self.data_centre = absl::StrCat("dc", i / options.regions % kDataCentres);
    self.data = {address, kDataPort};
    self.admin = {address, kDataPort + 1};
    if (entry) {
      self.control = {address, kControlPort};
      self.uid = MakeEntryUid(self.data.ToString());
      by_control_[{address, kControlPort}] = i;
    } else {
      self.target = {address, kDataPort + 2};
      self.slots = 4;
      nodes_[i].service_name =
          absl::StrCat("service", (i - options.entries) % options.services);
    }
  }
}

void Fleet::Start(size_t node, Incarnation incarnation) {
  Node& n = nodes_[node];
  ++n.life;
  n.paused = false;
  n.watching = false;
  n.applied.clear();
  n.drained.reset();
  held_[node].clear();
  const auto wall_clock = static_cast<uint64_t>(absl::ToUnixMillis(now_));
  n.self.incarnation =
      incarnation != Incarnation{} ? incarnation : Incarnation{wall_clock};
  std::vector<Endpoint> seeds;
  for (size_t i = 0; i < std::min(options_.seeds, options_.entries); ++i)
    seeds.push_back(nodes_[i].self.control);
  if (n.self.role == Role::kEntry) {
    n.entry = EntryControl::Create({n.self, seeds, random_()}).value();
  } else {
    n.agent = AgentControl::Create({n.self, n.service_name, seeds, random_()})
                  .value();
  }
  Event tick;
  tick.to = node;
  tick.to_life = n.life;
  Push(tick, absl::Milliseconds(random_() % 500));
}

void Fleet::StartAllAndSettle(const std::string& key, Revision revision) {
  for (size_t i = 0; i < nodes_.size(); ++i)
    Start(i);
  RunUntil(
      [&] {
        return AllHold(key, revision) &&
               AllEntries([this](const EntryControl& entry) {
                 return entry.Instances().size() == nodes_.size();
               });
      },
      absl::Seconds(20));
  RunFor(absl::Seconds(10));
}

void Fleet::Kill(size_t node) {
  Node& n = nodes_[node];
  n.entry.reset();
  n.agent.reset();
  n.watching = false;
  ++n.life;
  // Open links to it close.
  for (size_t i = 0; i < nodes_.size() && node < options_.entries; ++i) {
    Event failed;
    failed.kind = Event::Kind::kFailed;
    failed.from = node;
    failed.to = i;
    failed.from_life = n.life;
    failed.to_life = nodes_[i].life;
    Push(failed, Delay());
  }
}

void Fleet::Resume(size_t node) {
  nodes_[node].paused = false;
  for (Event& event : std::exchange(held_[node], {})) {
    event.at = now_;
    events_.push(event);
  }
}

void Fleet::Drain(size_t agent) {
  AgentControl& control = *nodes_[agent].agent;
  PerformAgent(agent, control.OnStateChanged(now_, InstanceState::kDraining,
                                             control.self().incarnation));
}

void Fleet::RunFor(absl::Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool Fleet::HoldsFor(const std::function<bool()>& check,
                     absl::Duration duration) {
  return RunUntil([&check] { return !check(); }, duration) >= duration;
}

absl::Duration Fleet::RunUntil(const std::function<bool()>& done,
                               absl::Duration limit) {
  const absl::Time start = now_;
  absl::Time next_check = start;
  while (!events_.empty() && events_.top().at <= start + limit) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    Handle(event);
    if (now_ < next_check)
      continue;
    next_check = now_ + kControlTick;
    if (done())
      return now_ - start;
  }
  now_ = start + limit;
  return limit;
}

void Fleet::Push(Event event, absl::Duration delay) {
  event.at = now_ + delay;
  event.order = order_++;
  events_.push(std::move(event));
}

absl::Duration Fleet::Delay() {
  const auto micros =
      static_cast<uint64_t>(absl::ToInt64Microseconds(options_.max_delay));
  return absl::Microseconds(200 + random_() % micros);
}

bool Fleet::IsCut(size_t from, size_t to) const {
  if (regions_cut_ && nodes_[from].self.region != nodes_[to].self.region)
    return true;
  return cuts_.count({from, to}) > 0;
}

void Fleet::Send(size_t from,
                 size_t to,
                 Event::Kind kind,
                 ControlMessage message) {
  if (observer)
    observer(from, to, message);
  std::uniform_real_distribution<double> chance(0, 1);
  if (IsCut(from, to) || chance(random_) < options_.drop)
    return;
  Event event;
  event.kind = kind;
  event.from = from;
  event.to = to;
  event.from_life = nodes_[from].life;
  event.to_life = nodes_[to].life;
  event.message = std::make_shared<ControlMessage>(std::move(message));
  Push(event, Delay());
  if (chance(random_) < options_.duplicate)
    Push(event, Delay() * 20);
}

void Fleet::SendTo(size_t from, Endpoint peer, ControlMessage message) {
  auto it = by_control_.find({peer.address, peer.port});
  if (it == by_control_.end() || nodes_[it->second].entry == nullptr) {
    Event failed;
    failed.kind = Event::Kind::kFailed;
    failed.to = from;
    failed.to_life = nodes_[from].life;
    failed.from = it == by_control_.end() ? from : it->second;
    Push(failed, Delay());
    return;
  }
  Send(from, it->second, Event::Kind::kRequest, std::move(message));
}

uint64_t Fleet::ConnectionOf(size_t from) const {
  return (from + 1) * kLives + nodes_[from].life;
}

void Fleet::Handle(const Event& event) {
  Node& to = nodes_[event.to];
  if (event.to_life != to.life || (!to.entry && !to.agent))
    return;
  if (to.paused) {
    held_[event.to].push_back(event);
    return;
  }
  if (event.kind == Event::Kind::kTick) {
    HandleTick(event.to);
    return;
  }
  const Endpoint peer = nodes_[event.from].self.control;
  if (event.kind == Event::Kind::kFailed) {
    if (to.entry)
      Perform(event.to, to.entry->OnSendFailed(now_, peer));
    else
      PerformAgent(event.to, to.agent->OnSendFailed(now_, peer));
    return;
  }
  if (event.from_life != nodes_[event.from].life)
    return;
  if (to.agent) {
    PerformAgent(event.to, Meter(to, [&] {
                   return to.agent->OnMessage(now_, peer, *event.message);
                 }));
    return;
  }
  const bool request = event.kind == Event::Kind::kRequest;
  const ConnectionId connection{request ? ConnectionOf(event.from) : 0};
  Perform(event.to, Meter(to, [&] {
            return to.entry->OnMessage(now_, connection, *event.message);
          }));
}

void Fleet::HandleTick(size_t node) {
  Node& n = nodes_[node];
  if (n.entry) {
    Perform(node, Meter(n, [&] { return n.entry->OnTick(now_); }));
    ReadPlatform(node);
  } else {
    PerformAgent(node, Meter(n, [&] { return n.agent->OnTick(now_); }));
  }
  Event tick;
  tick.to = node;
  tick.to_life = n.life;
  Push(tick, kControlTick);
}

void Fleet::ReadPlatform(size_t node) {
  Node& n = nodes_[node];
  if (!n.watching || !platform_up_ || (!n.list_due && n.watched == revision_))
    return;
  std::vector<ConfigRecord> objects;
  for (const auto& [key, object] : objects_) {
    if (n.list_due ? !object.deleted : object.revision > n.watched)
      objects.push_back(object);
  }
  n.watched = revision_;
  if (std::exchange(n.list_due, false))
    Perform(node, n.entry->OnPlatformList(now_, revision_, objects));
  else
    Perform(node, n.entry->OnPlatformChanges(now_, objects));
}

void Fleet::Perform(size_t node, EntryControlActions actions) {
  Node& n = nodes_[node];
  for (EntryControlAction& action : actions) {
    if (auto* send = std::get_if<SendControl>(&action)) {
      SendTo(node, send->peer, std::move(send->message));
    } else if (auto* reply = std::get_if<ReplyControl>(&action)) {
      const size_t to = ToNumber(reply->connection) / kLives - 1;
      Send(node, to, Event::Kind::kAnswer, std::move(reply->message));
    } else if (auto* role = std::get_if<WatcherRoleChanged>(&action)) {
      n.watching = role->watching;
      n.list_due = true;
    } else if (std::get_if<WriteDirectory>(&action) != nullptr) {
      ++n.directory_writes;
    } else if (auto* notice = std::get_if<ControlNotice>(&action)) {
      if (notice->kind == ControlNotice::Kind::kConfigApplied)
        NoteApplied(node, notice->config);
      if (on_notice)
        on_notice(node, *notice);
    }
  }
}

void Fleet::PerformAgent(size_t node, AgentControlActions actions) {
  Node& n = nodes_[node];
  const auto follow = [&](InstanceState state, Incarnation incarnation) {
    PerformAgent(node, n.agent->OnStateChanged(now_, state, incarnation));
  };
  for (AgentControlAction& action : actions) {
    const InstanceRecord self = n.agent->self();
    if (auto* send = std::get_if<SendControl>(&action)) {
      SendTo(node, send->peer, std::move(send->message));
    } else if (auto* change = std::get_if<ServiceChanged>(&action)) {
      NoteApplied(node, change->record);
      PerformAgent(node, n.agent->OnApplied(now_, change->record.revision));
    } else if (auto* order = std::get_if<DrainOrder>(&action)) {
      n.drained = order->drain;
      follow(order->drain ? InstanceState::kDraining : InstanceState::kServing,
             self.incarnation);
    } else if (auto* next = std::get_if<RaiseIncarnation>(&action)) {
      ++n.new_incarnations;
      follow(self.state, next->incarnation);
    }
  }
}

void Fleet::NoteApplied(size_t node, const ConfigRecord& record) {
  Revision& held = nodes_[node].applied[record.key];
  if (record.revision <= held)
    ++reversions_;
  held = record.revision;
}

Revision Fleet::Put(const std::string& key, const std::string& body) {
  revision_ = Revision{ToNumber(revision_) + 1};
  objects_[key] = {key, revision_, false, body};
  return revision_;
}

Revision Fleet::Remove(const std::string& key) {
  revision_ = Revision{ToNumber(revision_) + 1};
  objects_[key] = {key, revision_, true, ""};
  return revision_;
}

bool Fleet::AllEntries(const std::function<bool(const EntryControl&)>& check,
                       const std::string& region) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    const bool concerned = node.entry && !node.paused &&
                           (region.empty() || node.self.region == region);
    return !concerned || check(*node.entry);
  });
}

bool Fleet::AllSee(InstanceUid uid, InstanceState state) const {
  return AllEntries([&](const EntryControl& entry) {
    for (const InstanceRecord& record : entry.Instances()) {
      if (record.uid == uid)
        return record.state == state;
    }
    return false;
  });
}

bool Fleet::AllHold(const std::string& key, Revision revision) const {
  return AllEntries([&](const EntryControl& entry) {
    for (const ConfigRecord& record : entry.Config()) {
      if (record.key == key)
        return record.revision == revision;
    }
    return false;
  });
}

InstanceUid Fleet::UidOf(size_t node) const {
  return nodes_[node].entry ? nodes_[node].entry->self().uid
                            : nodes_[node].agent->self().uid;
}

size_t Fleet::Watching() const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(),
                    [](const Node& node) { return node.watching; }));
}

}  // namespace skylarkshunt
