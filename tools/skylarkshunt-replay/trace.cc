#include "trace.h"

#include <array>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "skylarkshunt/base/hash.h"
#include "skylarkshunt/configuration/questionnaire.h"
#include "skylarkshunt/edge/messages.h"
#include "skylarkshunt/serial/json_object.h"
#include "standins/work/work_order.h"

namespace skylarkshunt {
namespace {

constexpr double kMaxTimeMs = 86'400'000;
constexpr int64_t kMaxTargets = 1000;
constexpr std::array<absl::string_view, 10> kEvents = {
    "request", "configuration", "drain",     "undrain",    "kill",
    "pause",   "new_entry",     "end_entry", "lose_entry", "phase"};
enum EventIndex {
  kRequest,
  kConfiguration,
  kDrain,
  kUndrain,
  kKill,
  kPause,
  kNewEntry,
  kEndEntry,
  kLoseEntry,
  kPhase
};

struct KnownService {
  ServiceConfig config;
  size_t targets = 0;
};
using Services = std::map<std::string, KnownService>;

absl::Duration Time(JsonObjectReader& reader, absl::string_view key) {
  return absl::Milliseconds(reader.Number(key, 0, kMaxTimeMs));
}

TraceEvent ReadRequest(JsonObjectReader& reader, const Services& services) {
  TraceRequest request;
  request.service = reader.Name("service");
  request.kind = reader.Name("kind");
  request.flow = static_cast<uint64_t>(reader.Integer("flow", 0, INT64_MAX));
  request.run_time = Time(reader, "run_ms");
  request.answer_bytes = static_cast<uint64_t>(
      reader.Integer("answer_bytes", 0, static_cast<int64_t>(kMaxAnswerBytes)));
  if (request.run_time > kMaxRunTime)
    reader.Fail("run_ms", "too long", "use at most 300000");
  const auto service = services.find(request.service);
  if (service == services.end()) {
    reader.Fail("service", request.service, "configure it on an earlier line");
    return request;
  }
  if (service->second.config.FindKind(request.kind) == nullptr)
    reader.Fail("kind", request.kind, "name a kind of the service");
  request.deadline = service->second.config.deadline;
  if (reader.Has("deadline_ms"))
    request.deadline =
        absl::Milliseconds(reader.Integer("deadline_ms", 1, kMaxDeadlineMs));
  return request;
}

Result<TraceEvent> ReadConfiguration(JsonObjectReader& reader,
                                     absl::string_view source,
                                     Services& services) {
  TraceConfiguration event;
  BOOST_OUTCOME_TRY(
      answers,
      ParseQuestionnaire(reader.Object("questionnaire").dump(), source));
  event.config = answers.service;
  event.config.uid = ServiceUid{StableHash(event.config.name, 1)};
  event.config.apply_id = "replay";
  if (services.count(event.config.name) == 0)
    event.targets =
        static_cast<size_t>(reader.Integer("targets", 1, kMaxTargets));
  KnownService& known = services[event.config.name];
  known.config = event.config;
  known.targets += event.targets;
  return TraceEvent(std::move(event));
}

TraceEvent ReadAgentEvent(JsonObjectReader& reader,
                          const Services& services,
                          size_t index) {
  TraceAgentEvent event;
  event.service = reader.Name("service");
  event.target = static_cast<size_t>(reader.Integer("target", 0, kMaxTargets));
  const auto service = services.find(event.service);
  if (service == services.end() || event.target >= service->second.targets)
    reader.Fail("target", "unknown", "name a target of a configured service");
  switch (index) {
    case kDrain:
      event.kind = TraceAgentEvent::Kind::kDrain;
      break;
    case kUndrain:
      event.kind = TraceAgentEvent::Kind::kUndrain;
      break;
    case kKill:
      event.kind = TraceAgentEvent::Kind::kKill;
      event.length = Time(reader, "restart_ms");
      break;
    default:
      event.kind = TraceAgentEvent::Kind::kPause;
      event.length = Time(reader, "for_ms");
  }
  return event;
}

TraceEvent ReadEntryEvent(JsonObjectReader& reader, size_t index) {
  if (index == kNewEntry)
    return TraceEntryEvent{TraceEntryEvent::Kind::kNew, 0};
  const auto entry =
      static_cast<size_t>(reader.Integer("entry", 0, kMaxTargets));
  return TraceEntryEvent{index == kEndEntry ? TraceEntryEvent::Kind::kEnded
                                            : TraceEntryEvent::Kind::kLost,
                         entry};
}

Result<TraceLine> ReadLine(absl::string_view text,
                           absl::string_view source,
                           Services& services) {
  constexpr ErrorKind kKind = ErrorKind::kInvalidArgument;
  BOOST_OUTCOME_TRY(json, ParseJsonObject(text, source, kKind));
  JsonObjectReader reader(json, source, "", kKind);
  TraceLine line;
  line.at = Time(reader, "at_ms");
  // Requests make up nearly all lines, so that they need not say so.
  size_t index = kRequest;
  if (reader.Has("event"))
    index = reader.Choice("event", kEvents);
  if (index == kRequest) {
    line.event = ReadRequest(reader, services);
  } else if (index == kConfiguration) {
    BOOST_OUTCOME_TRY(event, ReadConfiguration(reader, source, services));
    line.event = std::move(event);
  } else if (index >= kNewEntry && index <= kLoseEntry) {
    line.event = ReadEntryEvent(reader, index);
  } else if (index == kPhase) {
    line.event = TracePhase{reader.Name("name")};
  } else {
    line.event = ReadAgentEvent(reader, services, index);
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return line;
}

}  // namespace

Result<Trace> ParseTrace(absl::string_view text, absl::string_view file) {
  Trace trace;
  Services services;
  size_t number = 0;
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    ++number;
    if (absl::StripAsciiWhitespace(line).empty())
      continue;
    const std::string source = absl::StrCat(file, ":", number);
    if (trace.size() >= kMaxTraceLines)
      return MakeError(ErrorKind::kInvalidArgument,
                       absl::StrCat(source, ": too many lines"),
                       "split the trace");
    BOOST_OUTCOME_TRY(read, ReadLine(line, source, services));
    if (!trace.empty() && read.at < trace.back().at)
      return MakeError(ErrorKind::kInvalidArgument,
                       absl::StrCat(source, ": at_ms is before the last line"),
                       "sort the lines by time");
    trace.push_back(std::move(read));
  }
  if (services.empty())
    return MakeError(ErrorKind::kInvalidArgument,
                     absl::StrCat(file, ": no configuration"),
                     "begin the trace with a configuration event");
  return trace;
}

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return MakeError(ErrorKind::kNotFound, absl::StrCat("cannot read ", path),
                     "check the path");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace skylarkshunt
