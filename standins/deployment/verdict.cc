#include "standins/deployment/verdict.h"

#include <httplib.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace skylarkshunt {
namespace {

constexpr time_t kReadLimitS = 10;

/// The callers' side of one request id, and the runs found of it.
struct Request {
  std::string kind;
  std::string end;
  uint64_t runs = 0;
};
using Requests = absl::flat_hash_map<std::string, Request>;

Result<Requests> ReadRecords(const std::string& path) {
  std::ifstream file(path);
  if (!file.is_open()) {
    return MakeError(ErrorKind::kNotFound, absl::StrCat("cannot read ", path),
                     "run the load tool with --records");
  }
  Requests requests;
  std::string id;
  std::string reason;
  Request request;
  while (file >> id >> request.kind >> request.end >> reason)
    requests[id] = request;
  return requests;
}

Result<nlohmann::json> FetchRuns(Endpoint target) {
  const std::string address = target.ToString();
  httplib::Client client(address.substr(0, address.find(':')), target.port);
  client.set_read_timeout(kReadLimitS);
  const auto answer = client.Get("/runs");
  if (!answer || answer->status != 200) {
    return MakeError(ErrorKind::kUnavailable,
                     absl::StrCat("no runs from target ", address),
                     "check that the target still runs");
  }
  return nlohmann::json::parse(answer->body);
}

/// Adds the target's runs to the requests of the load; returns their number.
Result<uint64_t> CountRuns(Endpoint target, Requests* requests) {
  BOOST_OUTCOME_TRY(runs, FetchRuns(target));
  uint64_t counted = 0;
  for (const auto& run : runs) {
    const auto found = requests->find(run["id"].get<std::string>());
    if (found == requests->end())
      continue;
    const uint64_t count = run["count"];
    found->second.runs += count;
    counted += count;
  }
  return counted;
}

double Imbalance(const std::vector<uint64_t>& runs) {
  const uint64_t sum = std::accumulate(runs.begin(), runs.end(), uint64_t{0});
  if (sum == 0)
    return 0;
  const double mean =
      static_cast<double>(sum) / static_cast<double>(runs.size());
  return static_cast<double>(*std::max_element(runs.begin(), runs.end())) /
         mean;
}

}  // namespace

Result<Verdict> CompareWithRuns(const std::string& records,
                                const ServiceConfig& service,
                                const std::vector<Endpoint>& targets) {
  BOOST_OUTCOME_TRY(requests, ReadRecords(records));
  std::vector<uint64_t> by_target;
  for (const Endpoint& target : targets) {
    BOOST_OUTCOME_TRY(count, CountRuns(target, &requests));
    by_target.push_back(count);
  }
  Verdict verdict;
  verdict.imbalance = Imbalance(by_target);
  for (const auto& [id, request] : requests) {
    const KindConfig* kind = service.FindKind(request.kind);
    if (request.runs > 1)
      ++(kind != nullptr && kind->idempotent ? verdict.rerun : verdict.doubled);
    if ((request.end == "not_run" && request.runs > 0) ||
        (request.end == "ok" && request.runs == 0)) {
      ++verdict.untrue;
    }
  }
  return verdict;
}

}  // namespace skylarkshunt
