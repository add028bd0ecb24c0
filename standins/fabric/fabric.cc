#include "standins/fabric/fabric.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/memory/memory.h"

namespace skylarkshunt {
namespace {

constexpr uint64_t kListenTag = UINT64_MAX;
constexpr uint64_t kWakeupTag = UINT64_MAX - 1;
constexpr int kLongestWaitMs = 1000;
constexpr size_t kEventsPerWait = 64;
// Datagrams read from one socket before the others have their turn.
constexpr int kDatagramsPerTurn = 256;

}  // namespace

Result<std::unique_ptr<Fabric>> Fabric::Start(const Options& options) {
  BOOST_OUTCOME_TRY(socket, UdpSocket::Bind(options.listen));
  BOOST_OUTCOME_TRY(wakeup, Wakeup::Create());
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  if (epoll < 0) {
    return MakeError(ErrorKind::kSystem, std::strerror(errno),
                     "raise the limit of open files");
  }
  auto fabric = absl::WrapUnique(
      new Fabric(options, std::move(socket), std::move(wakeup), epoll));
  fabric->thread_ = std::thread([raw = fabric.get()] { raw->Run(); });
  return fabric;
}

Fabric::Fabric(const Options& options,
               UdpSocket socket,
               Wakeup wakeup,
               int epoll)
    : options_(options),
      socket_(std::move(socket)),
      wakeup_(std::move(wakeup)),
      epoll_(epoll),
      sprayer_(options.pick, options.seed) {
  Watch(socket_.fd(), kListenTag);
  Watch(wakeup_.fd(), kWakeupTag);
}

Fabric::~Fabric() {
  stop_ = true;
  wakeup_.Notify();
  if (thread_.joinable())
    thread_.join();
  close(epoll_);
}

void Fabric::SetEntries(std::vector<Endpoint> entries) {
  absl::MutexLock lock(&mutex_);
  sprayer_.SetEntries(std::move(entries));
}

void Fabric::SetFaults(FabricFaults faults) {
  absl::MutexLock lock(&mutex_);
  sprayer_.SetFaults(std::move(faults));
}

FabricCounts Fabric::Counts() const {
  absl::MutexLock lock(&mutex_);
  return counts_;
}

void Fabric::Watch(int fd, uint64_t tag) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = tag;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void Fabric::Run() {
  std::array<epoll_event, kEventsPerWait> events = {};
  while (!stop_) {
    const int count =
        epoll_wait(epoll_, events.data(), kEventsPerWait, WaitMilliseconds());
    for (int i = 0; i < count; ++i) {
      const uint64_t tag = events[static_cast<size_t>(i)].data.u64;
      if (tag == kListenTag)
        ReadCallers();
      else if (tag == kWakeupTag)
        wakeup_.Drain();
      else
        ReadEntries(static_cast<size_t>(tag));
    }
    SendDue(MonotonicNow());
  }
}

int Fabric::WaitMilliseconds() const {
  if (delayed_.empty())
    return kLongestWaitMs;
  const absl::Duration left = delayed_.top().at - MonotonicNow();
  const int64_t ms =
      absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1)));
  return static_cast<int>(std::clamp<int64_t>(ms, 0, kLongestWaitMs));
}

void Fabric::ReadCallers() {
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    const auto datagram = socket_.Receive();
    if (!datagram)
      return;
    Caller* caller = FindCaller(datagram->source);
    if (caller == nullptr)
      continue;
    caller->last_used = ++sequence_;
    absl::optional<Endpoint> entry;
    {
      absl::MutexLock lock(&mutex_);
      entry = sprayer_.Next();
      counts_.no_entry += entry ? 0 : 1;
    }
    if (entry)
      Dispatch(/*to_entry=*/true, datagram->source, *entry, datagram->bytes);
  }
}

void Fabric::ReadEntries(size_t caller) {
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    const auto datagram = callers_[caller].socket->Receive();
    if (!datagram)
      return;
    Dispatch(/*to_entry=*/false, callers_[caller].endpoint, datagram->source,
             datagram->bytes);
  }
}

Fabric::Caller* Fabric::FindCaller(Endpoint endpoint) {
  const auto found = caller_index_.find(endpoint);
  if (found != caller_index_.end())
    return &callers_[found->second];
  auto socket = UdpSocket::Bind({options_.listen.address, 0});
  if (!socket)
    return nullptr;
  const size_t slot = SlotForNewCaller();
  Caller& caller = callers_[slot];
  caller.endpoint = endpoint;
  caller.socket = std::make_unique<UdpSocket>(std::move(socket.value()));
  caller_index_[endpoint] = slot;
  Watch(caller.socket->fd(), slot);
  return &caller;
}

size_t Fabric::SlotForNewCaller() {
  if (callers_.size() < options_.max_callers) {
    callers_.emplace_back();
    return callers_.size() - 1;
  }
  const auto oldest = std::min_element(callers_.begin(), callers_.end(),
                                       [](const Caller& a, const Caller& b) {
                                         return a.last_used < b.last_used;
                                       });
  caller_index_.erase(oldest->endpoint);
  absl::MutexLock lock(&mutex_);
  ++counts_.replaced_callers;
  return static_cast<size_t>(oldest - callers_.begin());
}

void Fabric::Dispatch(bool to_entry,
                      Endpoint caller,
                      Endpoint entry,
                      absl::Span<const uint8_t> bytes) {
  std::vector<absl::Duration> copies;
  {
    absl::MutexLock lock(&mutex_);
    copies = to_entry ? sprayer_.FateTo(entry) : sprayer_.FateFrom(entry);
    counts_.dropped += copies.empty() ? 1 : 0;
    counts_.duplicated += copies.size() > 1 ? 1 : 0;
    auto& by_entry = to_entry ? counts_.to_entry : counts_.from_entry;
    by_entry[entry.ToString()] += copies.size();
  }
  for (absl::Duration delay : copies) {
    if (delay == absl::ZeroDuration()) {
      Send(to_entry, caller, entry, bytes);
      continue;
    }
    absl::MutexLock lock(&mutex_);
    if (delayed_.size() >= kMaxDelayedDatagrams) {
      ++counts_.dropped;
      continue;
    }
    ++counts_.delayed;
    delayed_.push({MonotonicNow() + delay, ++sequence_, to_entry, caller, entry,
                   std::vector<uint8_t>(bytes.begin(), bytes.end())});
  }
}

void Fabric::Send(bool to_entry,
                  Endpoint caller,
                  Endpoint entry,
                  absl::Span<const uint8_t> bytes) {
  if (!to_entry) {
    socket_.Send(caller, bytes);
    return;
  }
  // The caller's socket may have been replaced while the datagram was held.
  const auto found = caller_index_.find(caller);
  if (found != caller_index_.end())
    callers_[found->second].socket->Send(entry, bytes);
}

void Fabric::SendDue(absl::Time now) {
  while (!delayed_.empty() && delayed_.top().at <= now) {
    const Delayed& due = delayed_.top();
    Send(due.to_entry, due.caller, due.entry, due.bytes);
    delayed_.pop();
  }
}

}  // namespace skylarkshunt
