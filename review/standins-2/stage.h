#ifndef SKYLARKSHUNT_REVIEW_STANDINS_2_STAGE_H_
#define SKYLARKSHUNT_REVIEW_STANDINS_2_STAGE_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// An IPv4 address in host byte order and a port.
struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;
};

std::string ToText(Address address);
int64_t UnixMs();
void SleepMs(int64_t ms);
/// Whether the environment asks for the disruption: TROUBLE is not 0.
bool IsTroubleWanted();

/// Writes record.txt. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  /// Milliseconds since the start.
  int64_t Now() const;
  void Write(const std::string& line);
  /// Waits until `ms` after the start.
  void WaitUntil(int64_t ms) const;

 private:
  std::ofstream out_;
  std::mutex mutex_;
  const int64_t start_;
};

struct Request {
  std::string method;
  std::string target;
  std::string body;
};

struct Reply {
  /// 0 if there was no answer.
  int status = 0;
  std::string body;
};

/// Calls an HTTP server once.
Reply Call(Address server, const Request& request, int timeout_ms);

/// Answers HTTP calls, one to a connection, with a thread for each.
class HttpServer {
 public:
  using Handler = std::function<Reply(const Request&)>;
  HttpServer(Address listen, Handler handler);
  ~HttpServer();

 private:
  void Run();

  const Handler handler_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> connections_;
  std::thread thread_;
};

/// The platform's store: lists, watches and creates objects.
class Store {
 public:
  explicit Store(Address listen);
  ~Store();
  /// Writes the object `name` of `kind`, as the operator does.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);

 private:
  struct Object {
    uint64_t revision = 0;
    std::string spec;
  };

  Reply Answer(const Request& request);
  Reply List(const std::string& kind);
  Reply Watch(const std::string& kind, uint64_t after, int wait_ms);
  std::string ObjectText(const std::string& name, const Object& object) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  uint64_t revision_ = 1;
  /// By kind and name.
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::unique_ptr<HttpServer> server_;
};

/// The addresses of a run: loopback addresses that no other run uses, and ports
/// that are the same on all machines.
struct Layout {
  static Layout Choose();
  Address Machine(int kind, int number, uint16_t port) const;

  uint32_t base = 0;
  uint16_t data = 0;
  uint16_t outbound = 0;
  uint16_t app = 0;
  uint16_t control = 0;
  uint16_t ready = 0;
  uint16_t internal = 0;
  uint16_t store = 0;
  uint16_t service = 0;
};

inline constexpr int kEdge = 1;
inline constexpr int kSide = 2;
inline constexpr int kClient = 3;
inline constexpr int kPlatform = 4;
inline constexpr int kProxy = 5;
inline constexpr int kRoute = 6;
inline constexpr char kService[] = "orders";
inline constexpr char kOtherService[] = "orders-new";
inline constexpr int kHeartbeatMs = 1200;
/// The port in the commands of the deploy file.
inline constexpr uint16_t kMetricsPort = 9464;

/// One process of the system, started with the command of the deploy file.
class Node {
 public:
  /// `service` is that of the backend beside a `side` machine.
  Node(Record& record,
       const Layout& layout,
       int kind,
       int number,
       std::string service = kService);
  ~Node();
  void Start();
  /// Sends SIGTERM, and SIGKILL after 6 s.
  void Terminate();
  /// Whether the process has ended by itself since Start().
  bool HasEnded();
  bool IsReady() const;
  const std::string& name() const { return name_; }
  int ends() const { return ends_; }

 private:
  Record& record_;
  const Layout layout_;
  const int kind_;
  const int number_;
  const std::string name_;
  const std::string service_;
  pid_t pid_ = -1;
  int ends_ = 0;
};

struct Packet {
  Address source;
  Address destination;
  uint32_t echo = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t sum = 0;
  uint8_t flags = 0;
  std::string data;
};

inline constexpr uint8_t kRst = 1;
inline constexpr uint8_t kBounced = 8;
inline constexpr uint8_t kSyn = 16;
inline constexpr uint8_t kFin = 32;
inline constexpr uint8_t kAck = 64;

/// The keyed sum that clients and backends write.
uint32_t SumOf(const Packet& packet);

/// One lifetime of a backend: packets, health check and status reports.
class Backend {
 public:
  struct Options {
    Address app;
    Address outbound;
    /// Where it sends its status reports.
    Address control;
    std::string id;
    std::string service = kService;
  };
  Backend(Record& record, Options options);
  /// Crashes: drops its flows and sends nothing more.
  ~Backend();
  /// The body of its next status report.
  std::string NextReport();
  void set_draining(bool draining) { draining_.store(draining); }
  int open_flows();
  /// Whether the end of the handshake of the client's flow has arrived.
  bool Holds(Address client);
  int64_t born() const { return born_; }
  /// Resets that it has sent to the client's address and port.
  int ResetsTo(Address client);
  /// Packets that it has got from the client's address and port, other than
  /// opening ones.
  int PacketsFrom(Address client);
  /// Time of the record at which the next status report goes out.
  int64_t next_report() const { return next_report_.load(); }

 private:
  struct Flow {
    uint32_t client_sequence = 0;
    uint32_t client_next = 0;
    uint32_t own_sequence = 0;
    uint32_t own_next = 0;
    bool open = false;
    bool ended = false;
    std::string last_answer;
    uint32_t last_answer_sequence = 0;
  };

  void RunPackets();
  void RunReports();
  void OnPacket(Packet& packet);
  void OnData(const Packet& packet, Flow& flow);
  void SendOut(const Packet& packet);

  Record& record_;
  const Options options_;
  const int64_t born_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> draining_{false};
  std::atomic<int> sequence_{0};
  std::atomic<int64_t> next_report_{0};
  std::mutex mutex_;
  /// By the client's address and port.
  std::map<std::pair<uint32_t, uint16_t>, Flow> flows_;
  std::map<std::pair<uint32_t, uint16_t>, int> resets_;
  std::map<std::pair<uint32_t, uint16_t>, int> packets_from_;
  std::unique_ptr<HttpServer> health_;
  std::thread packets_;
  std::thread reports_;
};

/// A client with one flow.
class Client {
 public:
  enum class Outcome { kAnswered, kReset, kNone };

  /// `route` returns the entry that gets the client's next packet.
  Client(Record& record,
         const Layout& layout,
         int number,
         std::function<Address()> route);
  ~Client();
  /// Opens a flow from a new port and sends the first request on it.
  Outcome Open();
  /// Opens a flow from the port of the last one, which has ended.
  Outcome OpenAgain();
  /// Ends the flow: both ends send a FIN. Returns whether the backend did.
  bool End();
  /// Sends a request on the open flow.
  Outcome Send();
  /// Reads packets for `ms`. Returns whether the system reset the open flow.
  bool Listen(int ms);
  bool is_open() const { return open_; }
  /// Resets of the open flow that carry no sum: those of the system.
  int resets() const { return resets_; }
  /// Resets of the open flow by a backend.
  int resets_by_backends() const { return resets_by_backends_; }
  const std::string& server() const { return server_; }
  Address end() const;

 private:
  Outcome Exchange(const Packet& packet, int limit_ms);
  Packet MakePacket(uint8_t flags) const;
  bool Receive(int ms, Packet& packet);
  Outcome OnReset(const Packet& packet);

  Record& record_;
  const Layout layout_;
  const int number_;
  const std::function<Address()> route_;
  int fd_ = -1;
  uint16_t port_ = 40'000;
  int requests_ = 0;
  bool open_ = false;
  uint32_t next_ = 0;
  uint32_t expects_ = 0;
  int resets_ = 0;
  int resets_by_backends_ = 0;
  std::string server_;
};

/// A link between a backend and the `control` address of its machine. While it
/// is cut, bytes wait. Those of a connection whose sender has ended are sent
/// when the sender's kernel would try again: 0.2 s after the first try, and
/// then after twice the time each.
class Link {
 public:
  Link(Record& record, Address listen, Address control);
  ~Link();
  void Cut();
  void Heal();
  /// Bytes of connections that were held, and have arrived since.
  int late() const { return late_.load(); }

 private:
  void Run();
  void Pass(int fd);

  Record& record_;
  const Address control_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::atomic<int> late_{0};
  std::vector<std::thread> connections_;
  std::thread thread_;
};

/// The platform's routers: check twice a second which entries are ready, and
/// choose among them by the hash of a flow, as with `hash` = `mod`.
class Router {
 public:
  Router(Record& record, const Layout& layout, int entries);
  ~Router();
  Address Choose(int hash);

 private:
  void Run();

  Record& record_;
  const Layout layout_;
  const int entries_;
  std::mutex mutex_;
  std::vector<int> in_rotation_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// A small deployment: `edge` and `side` machines in one zone. With two `edge`
/// machines each client has one of them; otherwise a router chooses. The first
/// two `side` machines belong to kService, further ones to kOtherService.
class Deployment {
 public:
  explicit Deployment(Record& record, int edges = 2, int sides = 2);
  /// Starts all. Returns false if it does not serve within 15 s. The backends
  /// start 0.25 s before or after the nodes.
  bool Start(bool backends_first = false);
  Node& edge(int number) { return *edges_[static_cast<size_t>(number - 1)]; }
  Node& side(int number) { return *sides_[static_cast<size_t>(number - 1)]; }
  std::unique_ptr<Backend>& backend(int number) {
    return backends_[static_cast<size_t>(number - 1)];
  }
  std::unique_ptr<Backend> MakeBackend(int number, const std::string& id);
  /// Changes the configuration. `target` is the part of the route that names
  /// its services.
  void Configure(int version, const std::string& target);
  /// The link of the first side machine; the second has none.
  Link& link() { return *link_; }
  const Layout& layout() const { return layout_; }
  std::vector<std::unique_ptr<Client>>& clients() { return clients_; }
  /// Calls `use` for all clients at the same time.
  void ForEachClient(const std::function<void(Client&)>& use);

 private:
  void StartBackends();
  void StartNodes();

  Record& record_;
  const Layout layout_;
  const int edge_count_;
  const int side_count_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Link> link_;
  std::unique_ptr<Router> router_;
  std::vector<std::unique_ptr<Node>> edges_;
  std::vector<std::unique_ptr<Node>> sides_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<Client>> clients_;
};

}  // namespace review

#endif  // SKYLARKSHUNT_REVIEW_STANDINS_2_STAGE_H_
