// Measures the control plane of a simulated fleet and prints JSON lines.
#include <malloc.h>
#include <time.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <new>
#include <nlohmann/json.hpp>

#include "fleet.h"
#include "skylarkshunt/control/codec.h"

namespace {

/// Bytes now allocated in this process through operator new.
size_t allocated_bytes = 0;

}  // namespace

void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr)
    throw std::bad_alloc();
  allocated_bytes += malloc_usable_size(memory);
  return memory;
}

void operator delete(void* memory) noexcept {
  allocated_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, size_t /*size*/) noexcept {
  operator delete(memory);
}

namespace skylarkshunt {
namespace {

namespace options = boost::program_options;
using nlohmann::json;

constexpr absl::Duration kSettle = absl::Seconds(120);
/// Seconds of the phases that follow a cold start or the return of a region.
constexpr double kBurstSeconds = 30;
constexpr absl::Duration kSpreadLimit = absl::Seconds(60);

/// Encoded bytes of one node.
struct Traffic {
  uint64_t sent = 0;
  uint64_t received = 0;
};

absl::Time ProcessorTime() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::TimeFromTimespec(time);
}

/// Counts the encoded messages of every `stride`-th entry and agent.
class Meter {
 public:
  Meter(Fleet& fleet, size_t stride) : fleet_(fleet), stride_(stride) {
    fleet_.observer = [this](size_t from, size_t to,
                             const ControlMessage& message) {
      OnMessage(from, to, message);
    };
  }

  void Reset() {
    traffic_.assign(fleet_.nodes().size(), {});
    for (size_t node : {size_t{0}, fleet_.AgentAt(0)}) {
      fleet_.nodes()[node].metered = true;
      fleet_.nodes()[node].processor = absl::ZeroDuration();
    }
    codec_ = {};
    largest_ = 0;
  }

  json Report(const std::string& phase, double seconds) const {
    json line = {{"phase", phase},
                 {"simulated_seconds", seconds},
                 {"largest_message_bytes", largest_}};
    line["entry"] = Summary(0, fleet_.entries(), seconds);
    line["agent"] = Summary(fleet_.entries(), fleet_.nodes().size(), seconds);
    AddProcessor(line["entry"], 0, seconds);
    AddProcessor(line["agent"], fleet_.AgentAt(0), seconds);
    return line;
  }

 private:
  bool IsSampled(size_t node) const {
    const size_t first = node < fleet_.entries() ? 0 : fleet_.entries();
    return (node - first) % stride_ == 0;
  }

  void OnMessage(size_t from, size_t to, const ControlMessage& message) {
    if (traffic_.empty() || (!IsSampled(from) && !IsSampled(to)))
      return;
    const absl::Time start = ProcessorTime();
    const std::vector<uint8_t> bytes = EncodeControlMessage(message).value();
    const absl::Time encoded = ProcessorTime();
    codec_[from] += encoded - start;
    if (fleet_.nodes()[to].metered) {
      DecodeControlMessage(bytes).value();
      codec_[to] += ProcessorTime() - encoded;
    }
    traffic_[from].sent += bytes.size();
    traffic_[to].received += bytes.size();
    largest_ = std::max(largest_, bytes.size());
  }

  json Summary(size_t first, size_t end, double seconds) const {
    double sent = 0;
    double received = 0;
    double most = 0;
    size_t sampled = 0;
    for (size_t node = first; node < end; ++node) {
      if (!IsSampled(node))
        continue;
      ++sampled;
      const Traffic& t = traffic_[node];
      sent += static_cast<double>(t.sent);
      received += static_cast<double>(t.received);
      most = std::max(most, static_cast<double>(t.sent + t.received));
    }
    const double nodes = static_cast<double>(std::max<size_t>(sampled, 1));
    return {{"sampled_nodes", sampled},
            {"sent_bytes_per_second", sent / nodes / seconds},
            {"received_bytes_per_second", received / nodes / seconds},
            {"most_bytes_per_second", most / seconds}};
  }

  void AddProcessor(json& line, size_t node, double seconds) const {
    auto it = codec_.find(node);
    const absl::Duration codec =
        it == codec_.end() ? absl::ZeroDuration() : it->second;
    line["decision_us_per_second"] =
        absl::ToDoubleMicroseconds(fleet_.nodes()[node].processor) / seconds;
    line["codec_us_per_second"] = absl::ToDoubleMicroseconds(codec) / seconds;
  }

  Fleet& fleet_;
  const size_t stride_;
  std::vector<Traffic> traffic_;
  std::map<size_t, absl::Duration> codec_;
  size_t largest_ = 0;
};

void PutService(Fleet& fleet, size_t service, uint64_t number) {
  fleet.Put(ServiceKey(service),
            ServiceBody(service, 1000 + service, "apply" + ToHex(number)));
}

/// Runs until `count` entries gave a notice that `matches`, and returns how
/// long that took.
template <typename Matches>
double SecondsUntilSeen(Fleet& fleet, size_t count, Matches matches) {
  std::set<size_t> seen;
  fleet.on_notice = [&](size_t node, const ControlNotice& notice) {
    if (matches(notice))
      seen.insert(node);
  };
  const absl::Duration took =
      fleet.RunUntil([&] { return seen.size() >= count; }, kSpreadLimit);
  fleet.on_notice = nullptr;
  return absl::ToDoubleSeconds(took);
}

/// The times that one change and one death take to reach all entries.
json MeasureSpread(Fleet& fleet, size_t repeats) {
  std::vector<double> change;
  std::vector<double> death;
  for (size_t i = 0; i < repeats; ++i) {
    PutService(fleet, 0, 500000 + i);
    change.push_back(SecondsUntilSeen(
        fleet, fleet.entries(), [](const ControlNotice& notice) {
          return notice.kind == ControlNotice::Kind::kConfigApplied;
        }));
    fleet.RunFor(absl::Seconds(20));
    const size_t agent = fleet.AgentAt(1 + i);
    const InstanceUid uid = fleet.UidOf(agent);
    fleet.Kill(agent);
    death.push_back(SecondsUntilSeen(
        fleet, fleet.entries(), [uid](const ControlNotice& notice) {
          return notice.record.uid == uid &&
                 notice.record.state == InstanceState::kDown;
        }));
    fleet.Start(agent);
    fleet.RunFor(absl::Seconds(20));
  }
  return {{"phase", "spread"},
          {"limit_seconds", absl::ToDoubleSeconds(kSpreadLimit)},
          {"change_seconds", change},
          {"death_seconds", death}};
}

/// Live allocated bytes of one entry's state per instance record.
json MeasureMemory(const InstanceRecord& self, size_t records) {
  auto entry = EntryControl::Create({self, {}, 1}).value();
  GossipPush push;
  push.sender = self;
  const size_t before = allocated_bytes;
  for (size_t i = 0; i < records; ++i) {
    push.instances.assign(1, self);
    push.instances[0].role = Role::kAgent;
    push.instances[0].uid = MakeTargetUid(ServiceUid{1}, ToHex(i));
    entry->OnMessage(absl::UnixEpoch(), ConnectionId{}, push);
  }
  const size_t bytes = allocated_bytes - before;
  return {{"phase", "memory"},
          {"records", records},
          {"table_bytes", bytes},
          {"bytes_per_record",
           static_cast<double>(bytes) / static_cast<double>(records)}};
}

/// Prints the traffic of the next periods, in which a disturbance settles.
void MeasureBursts(Fleet& fleet, Meter& meter, const std::string& phase) {
  for (int i = 0; i < 4; ++i) {
    meter.Reset();
    fleet.RunFor(absl::Seconds(kBurstSeconds));
    std::cout << meter.Report(phase, kBurstSeconds) << std::endl;
  }
}

/// Parts the regions for `seconds` and prints the traffic after their return.
void MeasureRegionReturn(Fleet& fleet, Meter& meter, double seconds) {
  fleet.CutRegions(true);
  fleet.RunFor(absl::Seconds(seconds));
  fleet.CutRegions(false);
  MeasureBursts(fleet, meter, "region_return");
}

int Run(const options::variables_map& values) {
  Fleet::Options fleet_options;
  fleet_options.entries = values["entries"].as<size_t>();
  fleet_options.agents = values["agents"].as<size_t>();
  fleet_options.services = values["services"].as<size_t>();
  fleet_options.regions = values["regions"].as<size_t>();
  fleet_options.seed = values["seed"].as<uint64_t>();
  const double seconds = values["seconds"].as<double>();
  const double rate = values["change-rate"].as<double>();
  std::cout << json{{"phase", "start"},
                    {"entries", fleet_options.entries},
                    {"agents", fleet_options.agents},
                    {"services", fleet_options.services},
                    {"regions", fleet_options.regions},
                    {"seed", fleet_options.seed},
                    {"changes_per_second", rate},
                    {"sampled",
                     "bytes of every stride-th node; processor time "
                     "of the first entry and agent"},
                    {"stride", values["stride"].as<size_t>()}}
            << std::endl;
  Fleet fleet(fleet_options);
  Meter meter(fleet, values["stride"].as<size_t>());
  for (size_t i = 0; i < fleet_options.services; ++i)
    PutService(fleet, i, 0);
  for (size_t i = 0; i < fleet.nodes().size(); ++i)
    fleet.Start(i);
  MeasureBursts(fleet, meter, "cold_start");
  fleet.RunFor(kSettle);
  meter.Reset();
  fleet.RunFor(absl::Seconds(seconds));
  std::cout << meter.Report("steady", seconds) << std::endl;
  meter.Reset();
  uint64_t changes = 0;
  for (double run = 0; run < seconds && rate > 0; run += 1 / rate) {
    PutService(fleet, changes % fleet_options.services, 1 + changes);
    ++changes;
    fleet.RunFor(absl::Seconds(1 / rate));
  }
  if (changes > 0) {
    const double ran = static_cast<double>(changes) / rate;
    std::cout << meter.Report("changes", ran) << std::endl;
  }
  fleet.RunFor(kSettle);
  std::cout << MeasureSpread(fleet, values["repeats"].as<size_t>())
            << std::endl;
  const double parted = values["region-cut"].as<double>();
  if (parted > 0)
    MeasureRegionReturn(fleet, meter, parted);
  std::cout << MeasureMemory(fleet.nodes()[0].self, fleet.nodes().size())
            << std::endl;
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  options::options_description description("Options");
  description.add_options()("help", "show the options")(
      "entries", options::value<size_t>()->default_value(20), "entries")(
      "agents", options::value<size_t>()->default_value(60), "agents")(
      "services", options::value<size_t>()->default_value(4), "services")(
      "regions", options::value<size_t>()->default_value(1), "regions")(
      "seed", options::value<uint64_t>()->default_value(1), "random seed")(
      "seconds", options::value<double>()->default_value(30),
      "simulated seconds of each phase")(
      "change-rate", options::value<double>()->default_value(0.1),
      "configuration changes per second in the phase with changes")(
      "repeats", options::value<size_t>()->default_value(3),
      "changes and deaths whose spreading is timed")(
      "region-cut", options::value<double>()->default_value(0),
      "simulated seconds that the regions are apart; 0 leaves this out")(
      "stride", options::value<size_t>()->default_value(1),
      "encode the messages of every such node only");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "; see --help\n";
    return EXIT_FAILURE;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return EXIT_SUCCESS;
  }
  for (const char* name : {"entries", "agents", "services", "stride"}) {
    if (values[name].as<size_t>() > 0)
      continue;
    std::cerr << "--" << name << " is 0; give at least 1\n";
    return EXIT_FAILURE;
  }
  return Run(values);
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
