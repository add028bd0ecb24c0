#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "skylarkshunt/configuration/questionnaire.h"
#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

namespace po = boost::program_options;

/// Spread of run times around the usual duration (log-normal).
constexpr double kRunTimeSigma = 0.25;
/// Requests choose among so many open flows; each request ends its flow with
/// the probability below.
constexpr size_t kOpenFlows = 300;
constexpr double kFlowEnds = 1.0 / 6;
constexpr double kMsPerSecond = 1000;

/// A stretch of time at one rate, in multiples of the capacity.
struct Stretch {
  const char* phase;
  double rate;
  double seconds;
};
struct KindShare {
  const char* kind;
  double share;
  int answer_bytes;
};
/// An event line without its time.
struct PlannedEvent {
  double at_s;
  std::string json;
};
struct Recipe {
  std::string name;
  std::string questionnaire;
  int targets;
  std::vector<KindShare> kinds;
  std::vector<Stretch> stretches;
  std::vector<PlannedEvent> events;
};

std::string Drain(const char* event, const char* service, int target) {
  return absl::StrFormat(R"("event":"%s","service":"%s","target":%d)", event,
                         service, target);
}

/// Marks the second configuration, which lowers the limit of connections.
constexpr char kReconfigure[] = "reconfigure";
constexpr char kNewEntry[] = R"("event":"new_entry")";

std::vector<Recipe> Recipes() {
  const std::vector<KindShare> dispatch = {{"pull_job", 0.7, 900},
                                           {"post_report", 0.3, 80}};
  const std::vector<KindShare> schemata = {{"diagram", 0.92, 1500},
                                           {"diagram_set", 0.08, 20000}};
  const std::vector<KindShare> registre = {{"retrieve", 0.6, 1500},
                                           {"file_report", 0.4, 80}};
  const std::vector<KindShare> archives = {{"index", 0.92, 900},
                                           {"retrieve_archive", 0.08, 40000}};
  const std::vector<Stretch> waves = {
      {"low", 0.3, 0.8}, {"capacity", 1.0, 0.8}, {"crest", 1.5, 0.8},
      {"low", 0.3, 0.8}, {"capacity", 1.0, 0.7}, {"crest", 1.5, 0.7},
      {"low", 0.3, 1.5}};
  const std::vector<Stretch> days = {{"low", 0.5, 5},    {"capacity", 1.0, 5},
                                     {"crest", 1.5, 4},  {"low", 0.5, 4},
                                     {"capacity", 1, 3}, {"crest", 1.5, 3}};
  const std::vector<Stretch> hours = {{"low", 0.6, 1.0},
                                      {"capacity", 1.0, 1.0},
                                      {"crest", 1.5, 0.8},
                                      {"low", 0.6, 1.0}};
  const std::string end1 = R"("event":"end_entry","entry":1)";
  return {
      {"klingelwerk-morning",
       "dispatch",
       7,
       dispatch,
       waves,
       {{0.4, kNewEntry},
        {0.8, end1},
        {1.6, kReconfigure},
        {4.0, Drain("drain", "dispatch", 2)}}},
      {"klingelwerk-schemata",
       "schemata",
       3,
       schemata,
       days,
       {{2, kNewEntry},
        {3, end1},
        {6, kReconfigure},
        {15, Drain("drain", "schemata", 1)},
        {18, Drain("undrain", "schemata", 1)}}},
      {"bureau-registre",
       "registre",
       7,
       registre,
       hours,
       {{0.5, kNewEntry},
        {0.8, end1},
        {1.2, kReconfigure},
        {2.0, Drain("drain", "registre", 3)}}},
      {"bureau-archives",
       "archives",
       4,
       archives,
       {{"low", 0.5, 4},
        {"capacity", 1.0, 4},
        {"crest", 1.5, 3},
        {"low", 0.5, 4},
        {"capacity", 1.0, 3},
        {"crest", 1.5, 2}},
       {{2, kNewEntry},
        {3, end1},
        {5, kReconfigure},
        {12, Drain("drain", "archives", 2)},
        {15, Drain("undrain", "archives", 2)}}},
      {"klingelwerk-failures",
       "dispatch",
       7,
       dispatch,
       {{"low", 0.4, 12}},
       {{2,
         R"("event":"kill","service":"dispatch","target":1,"restart_ms":5000)"},
        {4, R"("event":"pause","service":"dispatch","target":4,"for_ms":3000)"},
        {6, R"("event":"lose_entry","entry":0)"}}}};
}

class Maker {
 public:
  Maker(const Recipe& recipe,
        nlohmann::json questionnaire,
        const ServiceConfig& config,
        uint64_t seed)
      : recipe_(recipe),
        questionnaire_(std::move(questionnaire)),
        config_(config),
        random_(seed) {}

  std::string Make() {
    Add(0,
        absl::StrCat(R"("event":"configuration","targets":)", recipe_.targets,
                     R"(,"questionnaire":)", questionnaire_.dump()));
    for (size_t i = 0; i < kOpenFlows; ++i)
      open_.push_back(next_flow_++);
    double at = 0;
    for (const Stretch& stretch : recipe_.stretches) {
      Add(at, absl::StrFormat(R"("event":"phase","name":"%s")", stretch.phase));
      AddRequests(at, stretch);
      at += stretch.seconds;
    }
    Add(at, R"("event":"phase","name":"end")");
    for (const PlannedEvent& event : recipe_.events)
      Add(event.at_s, EventText(event));
    std::stable_sort(lines_.begin(), lines_.end(),
                     [](const Line& a, const Line& b) { return a.at < b.at; });
    std::string text;
    for (const Line& line : lines_)
      absl::StrAppendFormat(&text, "{\"at_ms\":%.1f,%s}\n",
                            line.at * kMsPerSecond, line.text);
    return text;
  }

 private:
  struct Line {
    double at = 0;
    std::string text;
  };

  void Add(double at, std::string text) {
    lines_.push_back({at, std::move(text)});
  }

  std::string EventText(const PlannedEvent& event) const {
    if (event.json != kReconfigure)
      return event.json;
    nlohmann::json changed = questionnaire_;
    changed["connections"] = config_.connections - 100;
    return absl::StrCat(R"("event":"configuration","questionnaire":)",
                        changed.dump());
  }

  double Usual(const KindShare& kind) const {
    return absl::ToDoubleSeconds(config_.FindKind(kind.kind)->usual_duration);
  }

  void AddRequests(double from, const Stretch& stretch) {
    double mean = 0;
    for (const KindShare& kind : recipe_.kinds)
      mean += kind.share * Usual(kind);
    const double capacity = recipe_.targets * config_.slots / mean;
    std::exponential_distribution<double> gap(stretch.rate * capacity);
    for (double at = from + gap(random_); at < from + stretch.seconds;
         at += gap(random_))
      AddRequest(at);
  }

  void AddRequest(double at) {
    std::uniform_real_distribution<double> uniform(0, 1);
    double draw = uniform(random_);
    size_t kind = 0;
    while (kind + 1 < recipe_.kinds.size() && draw >= recipe_.kinds[kind].share)
      draw -= recipe_.kinds[kind++].share;
    const size_t slot = random_() % open_.size();
    // The mean of the distribution is the usual duration.
    std::lognormal_distribution<double> run(
        std::log(Usual(recipe_.kinds[kind])) -
            kRunTimeSigma * kRunTimeSigma / 2,
        kRunTimeSigma);
    Add(at, absl::StrFormat(
                R"("service":"%s","flow":%d,"kind":"%s","run_ms":%.1f,)"
                R"("answer_bytes":%d)",
                config_.name, open_[slot], recipe_.kinds[kind].kind,
                run(random_) * kMsPerSecond, recipe_.kinds[kind].answer_bytes));
    if (uniform(random_) < kFlowEnds)
      open_[slot] = next_flow_++;
  }

  const Recipe& recipe_;
  nlohmann::json questionnaire_;
  ServiceConfig config_;
  std::mt19937_64 random_;
  std::vector<Line> lines_;
  std::vector<uint64_t> open_;
  uint64_t next_flow_ = 1;
};

Result<std::string> MakeTrace(const std::string& name,
                              const std::string& examples,
                              uint64_t seed) {
  for (const Recipe& recipe : Recipes()) {
    if (recipe.name != name)
      continue;
    const std::string path =
        absl::StrCat(examples, "/", recipe.questionnaire, ".json");
    BOOST_OUTCOME_TRY(answers, LoadQuestionnaire(path));
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_OUTCOME_TRY(
        json, ParseJsonObject(text.str(), path, ErrorKind::kInvalidAnswers));
    return Maker(recipe, json, answers.service, seed).Make();
  }
  return MakeError(ErrorKind::kInvalidArgument,
                   absl::StrCat("unknown trace ", name),
                   "see traces/README.md for the names");
}

int Main(int argc, char** argv) {
  std::string name;
  std::string examples;
  uint64_t seed = 1;
  po::options_description options(
      "Writes a made-up trace to the standard output.\nOptions");
  options.add_options()("help", "show this text")(
      "name", po::value(&name)->required(), "such as klingelwerk-morning")(
      "examples", po::value(&examples)->default_value("examples"),
      "folder of the questionnaires")(
      "seed", po::value(&seed)->default_value(1), "seed");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << options;
    return 2;
  }
  const Result<std::string> trace = MakeTrace(name, examples, seed);
  if (!trace.has_value()) {
    std::cerr << trace.error().ToString() << "\n";
    return 2;
  }
  std::cout << trace.value();
  return 0;
}

}  // namespace
}  // namespace skylarkshunt

int main(int argc, char** argv) {
  return skylarkshunt::Main(argc, argv);
}
