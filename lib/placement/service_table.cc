#include "skylarkshunt/placement/service_table.h"

#include <algorithm>
#include <cassert>
#include <limits>

#include "skylarkshunt/base/hash.h"

namespace skylarkshunt {
namespace {

// With 64 entries per target, the shares of the targets differ by about 1%. A
// prime table size makes every step size visit all entries.
constexpr size_t kEntriesPerTarget = 64;
constexpr size_t kMinTableSize = 251;
constexpr uint16_t kEmptySlot = std::numeric_limits<uint16_t>::max();
constexpr uint64_t kOffsetSeed = 0x6f66667365740000;
constexpr uint64_t kSkipSeed = 0x736b697000000000;
// Maximum number of hash draws for a list; a draw usually yields a new target.
// After them the list is filled with the targets in order of their uids.
constexpr uint64_t kMaxDraws = 16;

bool IsPrime(size_t number) {
  for (size_t divisor = 2; divisor * divisor <= number; ++divisor) {
    if (number % divisor == 0)
      return false;
  }
  return number > 1;
}

/// Derives the size from the target count rounded up to a power of two, because
/// a change of the table size moves nearly all flows.
size_t TableSize(size_t target_count) {
  size_t rounded = 1;
  while (rounded < target_count)
    rounded *= 2;
  size_t size = std::max(kMinTableSize, kEntriesPerTarget * rounded);
  while (!IsPrime(size))
    ++size;
  return size;
}

bool LessUid(const Candidate& a, const Candidate& b) {
  return a.uid < b.uid;
}

bool Contains(const CandidateList& list, InstanceUid uid) {
  return std::any_of(list.begin(), list.end(),
                     [uid](const Candidate& c) { return c.uid == uid; });
}

/// The order in which one target claims table entries.
struct Permutation {
  Permutation(InstanceUid uid, size_t size)
      : next(StableHash(ToNumber(uid), kOffsetSeed) % size),
        skip(StableHash(ToNumber(uid), kSkipSeed) % (size - 1) + 1) {}

  size_t next;
  size_t skip;
};

}  // namespace

std::shared_ptr<const ServiceTable> ServiceTable::Build(
    absl::Span<const Candidate> targets,
    const std::shared_ptr<const ServiceTable>& previous) {
  assert(targets.size() < kEmptySlot && "more targets than slot indices");
  auto table = std::shared_ptr<ServiceTable>(new ServiceTable());
  table->targets_.assign(targets.begin(), targets.end());
  std::sort(table->targets_.begin(), table->targets_.end(), LessUid);
  table->Fill();
  if (previous == nullptr)
    return table;
  auto last = std::shared_ptr<ServiceTable>(new ServiceTable());
  last->targets_ = previous->targets_;
  last->slots_ = previous->slots_;
  table->previous_ = last;
  return table;
}

void ServiceTable::Fill() {
  if (targets_.empty())
    return;
  const size_t size = TableSize(targets_.size());
  slots_.assign(size, kEmptySlot);
  std::vector<Permutation> permutations;
  permutations.reserve(targets_.size());
  for (const Candidate& target : targets_)
    permutations.emplace_back(target.uid, size);
  size_t filled = 0;
  for (size_t turn = 0; filled < size; turn = (turn + 1) % targets_.size()) {
    Permutation& permutation = permutations[turn];
    while (slots_[permutation.next] != kEmptySlot)
      permutation.next = (permutation.next + permutation.skip) % size;
    slots_[permutation.next] = static_cast<uint16_t>(turn);
    ++filled;
  }
}

const Candidate* ServiceTable::First(FlowKey flow) const {
  if (targets_.empty())
    return nullptr;
  return &targets_[slots_[StableHash(ToNumber(flow), 0) % slots_.size()]];
}

void ServiceTable::AppendCandidates(FlowKey flow,
                                    size_t limit,
                                    CandidateList& list) const {
  if (targets_.empty())
    return;
  for (uint64_t draw = 0; draw < kMaxDraws && list.size() < limit; ++draw) {
    const uint64_t hash = StableHash(ToNumber(flow), draw);
    const Candidate& candidate = targets_[slots_[hash % slots_.size()]];
    if (!Contains(list, candidate.uid))
      list.push_back(candidate);
  }
  const size_t start = ToNumber(flow) % targets_.size();
  for (size_t i = 0; i < targets_.size() && list.size() < limit; ++i) {
    const Candidate& candidate = targets_[(start + i) % targets_.size()];
    if (!Contains(list, candidate.uid))
      list.push_back(candidate);
  }
}

CandidateList ServiceTable::Candidates(FlowKey flow) const {
  CandidateList list;
  AppendCandidates(flow, kMaxCurrentCandidates, list);
  if (previous_ != nullptr)
    previous_->AppendCandidates(flow, std::min(list.size() + 2, kMaxCandidates),
                                list);
  return list;
}

bool ServiceTable::SameTargets(absl::Span<const Candidate> sorted) const {
  return absl::MakeConstSpan(targets_) == sorted;
}

}  // namespace skylarkshunt
