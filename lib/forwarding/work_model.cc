#include "skylarkshunt/forwarding/work_model.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace skylarkshunt {
namespace {

/// Weight of a new sample after the first few, as in ServiceTimeModel.
constexpr double kSampleWeight = 0.12;
/// Weight of a sample of a request that waited at the target. The time at which
/// it started is inferred, so it counts less.
constexpr double kWaitedWeight = 0.03;
/// Maximum ratio of a sample to the current estimate. Limits the effect of a
/// single request that takes 7 times as long; a target that becomes slower by
/// more is followed after a few samples.
constexpr double kMaxSampleRatio = 3.0;
/// Larger ratios count as this one.
constexpr double kMaxRatio = 16.0;
/// Number of answers from which the estimate is used.
constexpr uint32_t kMinSamples = 8;
/// Number of answers that determine the distribution of ratios. 3% of them are
/// about 15 long requests.
constexpr double kRatioSamples = 512;
/// Lowest ratio of the second bin: 7 quarters of an octave below 1, so that a
/// bin has its middle at 1. The first bin holds all below.
constexpr double kFirstRatio = 0.297;
constexpr double kBinsPerOctave = 2.0;
/// A request that has run longer than almost all before it is expected to run
/// on for this share of the time that it has run.
constexpr double kMinRestShare = 0.25;
/// Number of observed longer requests at which they determine the expected rest
/// as much as kMinRestShare does.
constexpr double kRestPrior = 0.5;
/// Maximum expected rest as a multiple of the typical work. Without a limit a
/// request whose answer is lost would exclude its target.
constexpr double kMaxRest = 8.0;
/// Maximum pending work: the largest value that a message holds.
constexpr uint32_t kMaxPendingUs = 0xffff * kPendingWorkUnitUs;

size_t BinOf(double ratio, size_t bins) {
  if (ratio < kFirstRatio)
    return 0;
  const double bin = 1.0 + kBinsPerOctave * std::log2(ratio / kFirstRatio);
  return std::min(bins - 1, static_cast<size_t>(bin));
}

}  // namespace

WorkModel::Token WorkModel::Begin(const Endpoint& route, absl::Time now) {
  last_event_ = now;
  if (requests_.size() >= kMaxTracked)
    return 0;
  Request request;
  request.token = next_token_++;
  request.route = route;
  request.arrived = now;
  requests_.push_back(request);
  return request.token;
}

void WorkModel::OnRequest(Token token, absl::Time now) {
  last_event_ = now;
  Request* request = Find(token);
  if (request == nullptr)
    return;
  if (request->requested) {
    // A further packet of the request. The work starts with the last one.
    if (request->running && !request->waited)
      request->started = now;
    return;
  }
  request->requested = true;
  request->arrived = now;
  if (running() < slots_) {
    request->running = true;
    request->started = now;
    return;
  }
  request->waited = true;
  if (!has_estimate())
    return;
  // Requests that have not arrived do not start before this one.
  const double wait_us = WaitUs(
      [token](const Request& r) { return r.requested && r.token != token; }, 0,
      QueueWork(), now);
  request->predicted_wait = absl::Microseconds(wait_us);
}

void WorkModel::OnAnswer(Token token, absl::Time now) {
  last_event_ = now;
  Request* request = Find(token);
  if (request == nullptr)
    return;
  // A target that answers before the client sends anything starts with the
  // opening packet.
  if (!request->requested && running() < slots_) {
    request->running = true;
    request->started = request->arrived;
  }
  // A request that was answered before its turn shows nothing about its start.
  if (request->running) {
    Learn(request->route, now - request->started,
          request->waited ? kWaitedWeight : kSampleWeight);
  }
}

void WorkModel::End(Token token) {
  if (token == 0)
    return;
  const auto found =
      std::find_if(requests_.begin(), requests_.end(),
                   [token](const Request& r) { return r.token == token; });
  if (found == requests_.end())
    return;
  requests_.erase(found);
  StartWaiting(last_event_);
}

void WorkModel::Reset() {
  routes_.clear();
  average_ = Route();
  ratios_ = {};
  mean_ratio_ = 1.0;
}

WorkModel::Request* WorkModel::Find(Token token) {
  for (Request& request : requests_) {
    if (request.token == token)
      return &request;
  }
  return nullptr;
}

bool WorkModel::has_estimate() const {
  return average_.samples >= kMinSamples && slots_ > 0 && slots_ <= kMaxSlots;
}

size_t WorkModel::running() const {
  return static_cast<size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [](const Request& r) { return r.running; }));
}

void WorkModel::StartWaiting(absl::Time now) {
  for (size_t running = this->running(); running < slots_; ++running) {
    Request* next = nullptr;
    for (Request& request : requests_) {
      const bool waits = request.requested && !request.running;
      if (waits && (next == nullptr || request.arrived < next->arrived))
        next = &request;
    }
    if (next == nullptr)
      return;
    next->running = true;
    next->started = now;
    if (!next->predicted_wait.has_value())
      continue;
    const absl::Duration observed = now - next->arrived;
    ++accuracy_.waits;
    accuracy_.predicted += *next->predicted_wait;
    accuracy_.observed += observed;
    accuracy_.error += absl::AbsDuration(observed - *next->predicted_wait);
  }
}

void WorkModel::Learn(const Endpoint& route,
                      absl::Duration work,
                      double weight) {
  const double log_us =
      std::log(std::max(1.0, absl::ToDoubleMicroseconds(work)));
  auto known = routes_.find(route);
  if (known == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) {
      routes_.erase(std::min_element(routes_.begin(), routes_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.used < b.second.used;
                                     }));
    }
    known = routes_.try_emplace(route).first;
  }
  known->second.used = ++uses_;
  const auto update = [log_us, weight](Route& learned) {
    const double limit = std::log(kMaxSampleRatio);
    ++learned.samples;
    const double first = 1.0 / learned.samples;
    const double change = log_us - learned.log_us;
    learned.log_us += learned.samples == 1
                          ? change
                          : std::max(weight, first) *
                                std::min(limit, std::max(-limit, change));
  };
  if (known->second.samples > 0) {
    const double ratio =
        std::min(kMaxRatio, std::exp(log_us - known->second.log_us));
    Bin& observed = ratios_[BinOf(ratio, kBins)];
    observed.count += 1;
    observed.sum += ratio;
    double count = 0;
    double sum = 0;
    for (const Bin& bin : ratios_) {
      count += bin.count;
      sum += bin.sum;
    }
    mean_ratio_ = std::max(1.0, sum / count);
    if (count >= kRatioSamples) {
      for (Bin& bin : ratios_) {
        bin.count /= 2;
        bin.sum /= 2;
      }
    }
  }
  update(known->second);
  update(average_);
}

double WorkModel::TypicalUs(const Endpoint& route) const {
  const auto known = routes_.find(route);
  return std::exp(known == routes_.end() ? average_.log_us
                                         : known->second.log_us);
}

double WorkModel::ExpectedWorkUs(const Endpoint& route) const {
  return has_estimate() ? mean_ratio_ * TypicalUs(route) : 0;
}

double WorkModel::ExpectedRest(double ratio) const {
  double count = kRestPrior;
  double rest = kRestPrior * kMinRestShare * ratio;
  for (const Bin& bin : ratios_) {
    if (bin.sum <= bin.count * ratio)
      continue;
    count += bin.count;
    rest += bin.sum - bin.count * ratio;
  }
  return std::min(kMaxRest, rest / count);
}

template <typename Predicate>
double WorkModel::WaitUs(const Predicate& counts,
                         size_t untracked,
                         const QueueWork& queue,
                         absl::Time now) const {
  const auto tracked = static_cast<size_t>(
      std::count_if(requests_.begin(), requests_.end(), counts));
  if (tracked + untracked + queue.size_ < slots_)
    return 0;
  // The times at which the slots become free, as a min-heap.
  absl::InlinedVector<double, kMaxSlots> free_us(slots_, 0.0);
  size_t running = 0;
  for (const Request& request : requests_) {
    if (!request.running || !counts(request) || running == slots_)
      continue;
    const double typical_us = TypicalUs(request.route);
    const double ratio =
        absl::ToDoubleMicroseconds(now - request.started) / typical_us;
    free_us[running++] = typical_us * ExpectedRest(std::max(0.0, ratio));
  }
  std::make_heap(free_us.begin(), free_us.end(), std::greater<>());
  const auto add = [&free_us](double work_us) {
    std::pop_heap(free_us.begin(), free_us.end(), std::greater<>());
    free_us.back() += work_us;
    std::push_heap(free_us.begin(), free_us.end(), std::greater<>());
  };
  for (const Request& request : requests_) {
    if (!request.running && counts(request))
      add(mean_ratio_ * TypicalUs(request.route));
  }
  for (const double work_us : queue.work_us_)
    add(work_us);
  const size_t others = untracked + queue.size_ - queue.work_us_.size();
  const double average_us = mean_ratio_ * std::exp(average_.log_us);
  return free_us.front() + static_cast<double>(others) * average_us / slots_;
}

uint32_t WorkModel::PendingUs(uint32_t busy,
                              const QueueWork& queue,
                              absl::Time now) const {
  if (!has_estimate())
    return 0;
  const size_t untracked = busy - std::min<size_t>(busy, requests_.size());
  const double wait_us = std::min(
      WaitUs([](const Request&) { return true; }, untracked, queue, now),
      double{kMaxPendingUs});
  return std::max(kPendingWorkUnitUs, static_cast<uint32_t>(wait_us));
}

}  // namespace skylarkshunt
