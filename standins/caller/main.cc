#include <iostream>
#include <thread>

#include "skylarkshunt/net/poller.h"
#include "standins/caller/load_worker.h"

namespace skylarkshunt {
namespace {

constexpr int kExitWrongAnswers = 1;
constexpr int kExitUsage = 2;
constexpr absl::Duration kProgressStep = absl::Seconds(1);

using Workers = std::vector<std::unique_ptr<LoadWorker>>;

Result<Workers> MakeWorkers(const LoadOptions& options) {
  Workers workers;
  for (uint32_t i = 0; i < options.threads; ++i) {
    BOOST_OUTCOME_TRY(worker, LoadWorker::Create(options, i));
    workers.push_back(std::move(worker));
  }
  return workers;
}

void PrintProgress(const Workers& workers, absl::Duration passed) {
  uint64_t issued = 0;
  uint64_t ended = 0;
  for (const auto& worker : workers) {
    issued += worker->issued();
    ended += worker->ended();
  }
  std::cerr << absl::ToInt64Seconds(passed) << " s: issued " << issued
            << ", ended " << ended << std::endl;
}

void RunAll(const Workers& workers) {
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  std::atomic<size_t> left{workers.size()};
  for (const auto& worker : workers) {
    threads.emplace_back([&worker, &left] {
      worker->Run();
      --left;
    });
  }
  const absl::Time start = MonotonicNow();
  absl::Time next = start + kProgressStep;
  while (left > 0) {
    absl::SleepFor(absl::Milliseconds(20));
    if (MonotonicNow() < next)
      continue;
    PrintProgress(workers, MonotonicNow() - start);
    next += kProgressStep;
  }
  for (std::thread& thread : threads)
    thread.join();
}

int Report(const LoadOptions& options, const Workers& workers, double seconds) {
  LoadTally total(options.kinds.size());
  for (const auto& worker : workers)
    total.Merge(worker->tally());
  std::vector<std::string> names;
  for (const KindLoad& kind : options.kinds)
    names.push_back(kind.plan.kind);
  std::cout << WriteSummary(total, names, seconds) << std::endl;
  if (!options.records.empty() &&
      !WriteRecords(total, names, options.records)) {
    std::cerr << "cannot write " << options.records << std::endl;
    return kExitUsage;
  }
  return total.EndsOf(CallEnd::kWrongAnswer) > 0 ? kExitWrongAnswers : 0;
}

int Main(int argc, char** argv) {
  bool help = false;
  const Result<LoadOptions> options = ParseLoadOptions(argc, argv, &help);
  if (!options) {
    std::cerr << options.error().ToString() << std::endl;
    return kExitUsage;
  }
  if (help)
    return 0;
  const Result<Workers> workers = MakeWorkers(options.value());
  if (!workers) {
    std::cerr << workers.error().ToString() << std::endl;
    return kExitUsage;
  }
  const absl::Time start = MonotonicNow();
  RunAll(workers.value());
  return Report(options.value(), workers.value(),
                absl::ToDoubleSeconds(MonotonicNow() - start));
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
