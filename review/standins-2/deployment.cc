#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <random>
#include <sstream>

#include "sockets.h"
#include "stage.h"

namespace review {
namespace {

constexpr char kProgram[] = "target/bin/skylarkshuntd";
constexpr int kClients = 20;
constexpr int kGraceMs = 6000;

/// Folder of the run, in the one that TMPDIR names.
const std::string& Folder() {
  static const std::string folder = [] {
    const char* parent = std::getenv("TMPDIR");
    std::string path =
        std::string(parent == nullptr ? "/tmp" : parent) + "/review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr)
      Fail("cannot create " + path);
    return path;
  }();
  return folder;
}

}  // namespace

bool IsTroubleWanted() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string& path) : out_(path), start_(SteadyMs()) {
  if (!out_)
    Fail("cannot write " + path);
  Write(IsTroubleWanted() ? "with the disruption" : "without the disruption");
}

int64_t Record::Now() const {
  return SteadyMs() - start_;
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t now = Now();
  out_ << std::setw(4) << now / 1000 << "." << std::setw(3) << std::setfill('0')
       << now % 1000 << std::setfill(' ') << " " << line << std::endl;
}

void Record::WaitUntil(int64_t ms) const {
  SleepMs(ms - Now());
}

Layout Layout::Choose() {
  std::random_device random;
  Layout layout;
  layout.base =
      127U << 24 | (16 + random() % 200) << 16 | (random() % 30) * 8 << 8;
  const auto port = static_cast<uint16_t>(20'000 + random() % 10'000);
  layout.data = port;
  layout.outbound = port + 1;
  layout.app = port + 2;
  layout.control = port + 3;
  layout.ready = port + 4;
  layout.store = port + 5;
  layout.service = port + 6;
  layout.internal = port + 16;
  return layout;
}

Address Layout::Machine(int kind, int number, uint16_t port) const {
  return {
      base + (static_cast<uint32_t>(kind) << 8) + static_cast<uint32_t>(number),
      port};
}

Node::Node(Record& record,
           const Layout& layout,
           int kind,
           int number,
           std::string service)
    : record_(record),
      layout_(layout),
      kind_(kind),
      number_(number),
      name_((kind == kEdge ? "edge-" : "side-") + std::to_string(number)),
      service_(std::move(service)) {}

Node::~Node() {
  if (pid_ < 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Node::Start() {
  const auto at = [this](uint16_t port) {
    return ToText(layout_.Machine(kind_, number_, port));
  };
  const std::string ip = at(0).substr(0, at(0).find(':'));
  const bool is_edge = kind_ == kEdge;
  std::ostringstream text;
  text << "node-name=" << name_ << "\nrole=" << (is_edge ? "entry" : "agent")
       << "\nmachine-class=" << (is_edge ? "edge" : "side")
       << "\nserves=" << (is_edge ? "edge,control" : "side") << "\nip=" << ip
       << "\nzone=za\nregion=ra\nzones.za=ra\nlisten.data-addr="
       << at(layout_.data) << "\nlisten.readiness-addr=" << at(layout_.ready)
       << "\nlisten.control=" << at(layout_.control)
       << "\ninternal-port-range=" << layout_.internal << ","
       << layout_.internal + 15
       << "\nseeds=" << ToText(layout_.Machine(kEdge, 1, layout_.control))
       << "," << ToText(layout_.Machine(kEdge, 2, layout_.control))
       << "\nbootstrap=true\nin-tolerance=false\nlimits.cpu-share=0.25\n"
          "limits.cores=1\nlimits.memory-mb=128\nlimits.max-fds=4096\n"
          "limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=local\n"
          "entry=advertise\nheartbeat-ms="
       << kHeartbeatMs
       << "\ncontracts=base,drain,config,cost,recover,flows,platform\n"
          "bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\n"
          "bounds.stable-window-ms=4000\nbounds.ack-ms=5000\n"
          "bounds.catchup-s=4\nbounds.drain-ms=3000\nbounds.grace-s=6\n"
          "bounds.loss-slack-ms=200\nbounds.config-apply-ms=3000\n"
          "bounds.downgrade-slack-ms=250\nbounds.skew-max-ms=12000\n"
          "bounds.recovery-s=12\nbounds.reorder-ms=2000\n"
          "bounds.flow-ttl-s=60\nhash=mod\ndeployment-mode=agent\n"
          "platform.addr="
       << ToText(layout_.Machine(kPlatform, 1, layout_.store))
       << "\nplatform.deployment-mode=objects\nplatform.writes-per-s=400\n"
          "platform.reads-per-s=2000\nplatform.history-s=20\n"
          "platform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n";
  if (!is_edge)
    text << "listen.outbound=" << at(layout_.outbound)
         << "\napp=" << at(layout_.app) << "\nservice=" << service_ << "\n";
  const std::string settings = Folder() + "/" + name_ + ".conf";
  std::ofstream(settings) << text.str();
  const std::string output = Folder() + "/" + name_ + ".log";
  const std::string port = std::to_string(kMetricsPort);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
        open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, 1);
    dup2(out, 2);
    setenv("SKYLARKSHUNT_NODE_FILE", settings.c_str(), 1);
    execl(kProgram, kProgram, "--node", "--metrics-port", port.c_str(),
          nullptr);
    _exit(127);
  }
  record_.Write(name_ + " starts, process " + std::to_string(pid_));
}

void Node::Terminate() {
  record_.Write(name_ + " gets SIGTERM");
  kill(pid_, SIGTERM);
  const int64_t end = SteadyMs() + kGraceMs;
  while (waitpid(pid_, nullptr, WNOHANG) == 0) {
    if (SteadyMs() > end)
      kill(pid_, SIGKILL);
    SleepMs(5);
  }
  pid_ = -1;
  record_.Write(name_ + " has ended");
}

bool Node::HasEnded() {
  int status = 0;
  if (pid_ < 0 || waitpid(pid_, &status, WNOHANG) != pid_)
    return false;
  pid_ = -1;
  ++ends_;
  record_.Write(name_ + " ended by itself: " +
                (WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status))
                     : "exit " + std::to_string(WEXITSTATUS(status))));
  return true;
}

bool Node::IsReady() const {
  return Call(layout_.Machine(kind_, number_, layout_.ready),
              {"GET", "/skylarkshunt/ready", ""}, 500)
             .status == 200;
}

Link::Link(Record& record, Address listen, Address control)
    : record_(record), control_(control), fd_(review::Listen(listen)) {
  thread_ = std::thread([this] { Run(); });
}

Link::~Link() {
  stopping_.store(true);
  thread_.join();
  for (std::thread& connection : connections_)
    connection.join();
  close(fd_);
}

void Link::Cut() {
  cut_.store(true);
  record_.Write("the link of the status reports to side-1 is cut");
}

void Link::Heal() {
  cut_.store(false);
  record_.Write("the link of the status reports to side-1 is whole again");
}

void Link::Run() {
  while (!stopping_.load()) {
    if (!WaitForInput(fd_, 20))
      continue;
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0)
      connections_.emplace_back([this, fd] { Pass(fd); });
  }
}

void Link::Pass(int fd) {
  // A report fits into one segment.
  const std::string text =
      WaitForInput(fd, 1000) ? ReceiveFrom(fd) : std::string();
  const int64_t sent = SteadyMs();
  int64_t wait = 200;
  int64_t next = sent;
  bool was_held = false;
  while (cut_.load() && !stopping_.load()) {
    was_held = true;
    next += wait;
    wait *= 2;
    while (SteadyMs() < next && !stopping_.load())
      SleepMs(5);
  }
  const int upstream = stopping_.load() ? -1 : Connect(control_);
  if (upstream >= 0) {
    SendAll(upstream, text);
    const std::string answer =
        WaitForInput(upstream, 1000) ? ReceiveFrom(upstream) : std::string();
    if (was_held) {
      ++late_;
      record_.Write("arrives " + std::to_string(SteadyMs() - sent) +
                    " ms late: " + text.substr(0, text.find(" HTTP")) + " " +
                    text.substr(text.find("\r\n\r\n") + 4) + ", answer " +
                    answer.substr(9, 3));
    }
    SendAll(fd, answer);
    close(upstream);
  }
  close(fd);
}

Router::Router(Record& record, const Layout& layout, int entries)
    : record_(record), layout_(layout), entries_(entries) {
  thread_ = std::thread([this] { Run(); });
}

Router::~Router() {
  stopping_.store(true);
  thread_.join();
}

void Router::Run() {
  std::vector<int> misses(static_cast<size_t>(entries_), 2);
  while (!stopping_.load()) {
    std::vector<int> ready;
    std::string names;
    for (int entry = 1; entry <= entries_; ++entry) {
      const Reply reply = Call(layout_.Machine(kEdge, entry, layout_.ready),
                               {"GET", "/skylarkshunt/ready", ""}, 200);
      int& missed = misses[static_cast<size_t>(entry - 1)];
      missed = reply.status == 200 ? 0 : missed + 1;
      if (missed < 2) {
        ready.push_back(entry);
        names += " edge-" + std::to_string(entry);
      }
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (ready != in_rotation_)
        record_.Write("in rotation:" + names);
      in_rotation_ = ready;
    }
    SleepMs(500);
  }
}

Address Router::Choose(int hash) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int chosen =
      in_rotation_.empty()
          ? 1
          : in_rotation_[static_cast<size_t>(hash) % in_rotation_.size()];
  return layout_.Machine(kEdge, chosen, layout_.data);
}

Deployment::Deployment(Record& record, int edges, int sides)
    : record_(record),
      layout_(Layout::Choose()),
      edge_count_(edges),
      side_count_(sides) {}

std::unique_ptr<Backend> Deployment::MakeBackend(int number,
                                                 const std::string& id) {
  Backend::Options options;
  options.app = layout_.Machine(kSide, number, layout_.app);
  options.outbound = layout_.Machine(kSide, number, layout_.outbound);
  options.control = number == 1
                        ? layout_.Machine(kProxy, 1, layout_.control)
                        : layout_.Machine(kSide, number, layout_.control);
  options.id = id;
  options.service = number <= 2 ? kService : kOtherService;
  return std::make_unique<Backend>(record_, options);
}

void Deployment::StartBackends() {
  for (int number = 1; number <= side_count_; ++number)
    backends_.push_back(
        MakeBackend(number, "i-first-" + std::to_string(number)));
}

void Deployment::StartNodes() {
  for (int number = 1; number <= edge_count_; ++number) {
    edges_.push_back(std::make_unique<Node>(record_, layout_, kEdge, number));
    edges_.back()->Start();
  }
  for (int number = 1; number <= side_count_; ++number) {
    sides_.push_back(
        std::make_unique<Node>(record_, layout_, kSide, number,
                               number <= 2 ? kService : kOtherService));
    sides_.back()->Start();
  }
}

void Deployment::Configure(int version, const std::string& target) {
  const std::string host = ToText(layout_.Machine(kRoute, 1, 0));
  std::string services;
  for (const std::string name : {kService, kOtherService}) {
    services += (services.empty() ? "" : ",") +
                ("{\"name\":\"" + name +
                 "\",\"health-path\":\"/health\",\"max-conns\":2000,"
                 "\"proto\":\"h1\",\"tls\":false,\"warmup-s\":2.0,"
                 "\"warmup-per-s\":0.0}");
  }
  store_->Put("config", "main",
              "{\"version\":" + std::to_string(version) +
                  ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" +
                  host.substr(0, host.find(':')) + "\",\"path-prefix\":\"/" +
                  std::to_string(layout_.service) +
                  "/\",\"kind\":\"idempotent\",\"timeout-ms\":2500,"
                  "\"target-latency-ms\":250,\"priority\":2," +
                  target + ",\"max-attempts\":2}],\"services\":[" + services +
                  "],\"limits\":{\"max-header-bytes\":16384,"
                  "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
                  "\"idle-timeout-ms\":15000}}");
  record_.Write("configuration " + std::to_string(version) + ": " + target);
}

bool Deployment::Start(bool backends_first) {
  store_ =
      std::make_unique<Store>(layout_.Machine(kPlatform, 1, layout_.store));
  Configure(3, "\"service\":\"" + std::string(kService) + "\"");
  link_ = std::make_unique<Link>(record_,
                                 layout_.Machine(kProxy, 1, layout_.control),
                                 layout_.Machine(kSide, 1, layout_.control));
  if (backends_first)
    StartBackends();
  else
    StartNodes();
  SleepMs(250);
  if (backends_first)
    StartNodes();
  else
    StartBackends();
  if (edge_count_ > 2)
    router_ = std::make_unique<Router>(record_, layout_, edge_count_);
  for (int number = 1; number <= kClients; ++number) {
    const Address entry = layout_.Machine(kEdge, 1 + number % 2, layout_.data);
    // Flows that move when the third entry leaves the rotation, and back.
    const auto route = [this, entry, hash = 6 * number + 4] {
      return router_ == nullptr ? entry : router_->Choose(hash);
    };
    clients_.push_back(
        std::make_unique<Client>(record_, layout_, number, route));
  }
  const int64_t end = SteadyMs() + 15'000;
  while (SteadyMs() < end) {
    const bool is_ready = std::all_of(
        edges_.begin(), edges_.end(),
        [](const std::unique_ptr<Node>& edge) { return edge->IsReady(); });
    const bool are_sides_ready = std::all_of(
        sides_.begin(), sides_.end(),
        [](const std::unique_ptr<Node>& side) { return side->IsReady(); });
    if (is_ready && are_sides_ready) {
      record_.Write("all nodes are ready");
      return true;
    }
    SleepMs(50);
  }
  return false;
}

void Deployment::ForEachClient(const std::function<void(Client&)>& use) {
  std::vector<std::thread> threads;
  for (const std::unique_ptr<Client>& client : clients_)
    threads.emplace_back([&use, &client] { use(*client); });
  for (std::thread& thread : threads)
    thread.join();
}

}  // namespace review
