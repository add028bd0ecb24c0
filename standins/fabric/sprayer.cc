#include "standins/fabric/sprayer.h"

#include <utility>

#include "skylarkshunt/serial/json_object.h"

namespace skylarkshunt {
namespace {

constexpr size_t kMaxEntries = 1000;
constexpr int64_t kMaxDelayMs = 10'000;
constexpr absl::string_view kSource = "request body";

absl::flat_hash_set<Endpoint> ReadCut(JsonObjectReader* reader,
                                      absl::string_view key) {
  if (!reader->Has(key))
    return {};
  const std::vector<Endpoint> cut = reader->Addresses(key, kMaxEntries);
  return {cut.begin(), cut.end()};
}

double ReadShare(JsonObjectReader* reader, absl::string_view key) {
  return reader->Has(key) ? reader->Number(key, 0, 1) : 0;
}

}  // namespace

Result<FabricFaults> ParseFabricFaults(absl::string_view json) {
  BOOST_OUTCOME_TRY(
      value, ParseJsonObject(json, kSource, ErrorKind::kInvalidArgument));
  JsonObjectReader reader(value, kSource, "", ErrorKind::kInvalidArgument);
  FabricFaults faults;
  faults.loss = ReadShare(&reader, "loss");
  faults.duplicate = ReadShare(&reader, "duplicate");
  faults.reorder = ReadShare(&reader, "reorder");
  if (reader.Has("delay_ms"))
    faults.delay =
        absl::Milliseconds(reader.Integer("delay_ms", 0, kMaxDelayMs));
  faults.cut = ReadCut(&reader, "cut");
  faults.cut_return = ReadCut(&reader, "cut_return");
  BOOST_OUTCOME_TRY(reader.Finish());
  return faults;
}

Result<std::vector<FabricEntry>> ParseFabricEntries(absl::string_view json) {
  BOOST_OUTCOME_TRY(
      value, ParseJsonObject(json, kSource, ErrorKind::kInvalidArgument));
  JsonObjectReader reader(value, kSource, "", ErrorKind::kInvalidArgument);
  const std::vector<Endpoint> data = reader.Addresses("entries", kMaxEntries);
  std::vector<Endpoint> admin;
  if (reader.Has("admin")) {
    admin = reader.Addresses("admin", kMaxEntries);
    if (admin.size() != data.size())
      reader.Fail("admin", "another length", "give one address per entry");
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  std::vector<FabricEntry> entries;
  for (size_t i = 0; i < data.size(); ++i) {
    entries.push_back({data[i], absl::nullopt});
    if (!admin.empty())
      entries.back().admin = admin[i];
  }
  return entries;
}

void Sprayer::SetEntries(std::vector<Endpoint> entries) {
  entries_ = std::move(entries);
}

absl::optional<Endpoint> Sprayer::Next() {
  if (entries_.empty())
    return absl::nullopt;
  if (pick_ == Pick::kRoundRobin)
    return entries_[next_++ % entries_.size()];
  std::uniform_int_distribution<size_t> draw(0, entries_.size() - 1);
  return entries_[draw(random_)];
}

bool Sprayer::Draw(double share) {
  return share > 0 && std::bernoulli_distribution(share)(random_);
}

std::vector<absl::Duration> Sprayer::Fate() {
  if (Draw(faults_.loss))
    return {};
  std::vector<absl::Duration> copies(Draw(faults_.duplicate) ? 2 : 1);
  for (absl::Duration& delay : copies) {
    if (Draw(faults_.reorder))
      delay = faults_.delay;
  }
  return copies;
}

std::vector<absl::Duration> Sprayer::FateTo(Endpoint entry) {
  if (faults_.cut.contains(entry))
    return {};
  return Fate();
}

std::vector<absl::Duration> Sprayer::FateFrom(Endpoint entry) {
  if (faults_.cut_return.contains(entry))
    return {};
  return Fate();
}

}  // namespace skylarkshunt
