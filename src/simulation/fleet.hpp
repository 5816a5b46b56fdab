// A simulated deployment: relays of the product, backend instances, clients and
// operators, with fault injection. Journals have the format of those of the
// stand-in programs, so that one checker reads both.
#pragma once
#include "control_api/router.hpp"
#include "link/link.hpp"
#include "simulation/ports.hpp"

namespace dunlinwing::simulation {

struct FleetShape {
  int shield_nodes = 0;         // only fetch for other nodes, named s1 and so on; clients cannot reach them
  bool replica_shields = true;  // the last two replicas are shields too
  int replicas = 5, edge_nodes = 4, spares = 0;  // spares have a disk, but no settings list them as replicas
  bool seeded = false;  // the first replica set forms from the seeds, the hosts h1 to h3
  int tolerate = 0;
  double scale = 600;
  Duration bound{2000};
  int64_t initial_wall_offset_ms = 1700000000000;
  // What the release of this name breaks on the nodes that run it: nothing (empty), beats or reach.
  std::string broken_release, broken_aspect;
  int content_backends = 3, app_backends = 3;  // backend instances of the cached and of the other service
  Duration min_delay{1}, max_delay{3};         // of a message between hosts
  // Link rates in Mbit/s, each direction, 0: unlimited; of hosts with a disk, other relays, and nodes that
  // only fetch for others.
  double replica_mbps = 0, edge_mbps = 0, shield_mbps = 0;
  // Hooks for a deployment with other protocols: they change each relay's settings, wrap
  // its control API, and replace the simulated backend instances.
  using Handler = std::function<base::Response(base::Request&)>;
  std::function<void(node::NodeConfig&)> settings;
  std::function<base::Response(base::Request&, const Handler& product)> translate;
  std::function<std::variant<base::Response, base::AttemptError>(
      const ProcessRunPtr&, const std::string& address, const base::Request&, const base::AttemptRules&)>
      send;
  std::function<bool(const std::string& address)> can_connect;
};

// The two deployments of the specification: fourteen machines, five of them with a disk.
FleetShape lobby_shape();
FleetShape practice_shape();

struct Host {
  std::string name, zone, address;
  bool has_disk = false, shield = false, spare = false;
  bool accepts_clients = true;
  bool started_before = false;
  DiskContents disk_contents;
  int64_t wall_offset_ms = 0;
  ProcessRunPtr process;
  std::unique_ptr<Clock> clock;
  std::unique_ptr<Random> random;
  std::unique_ptr<Tasks> tasks;
  std::unique_ptr<link::Link> link;
  std::unique_ptr<Net> net;
  std::unique_ptr<base::Origin> origin;
  std::unique_ptr<base::Ports> ports;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<node::Node> node;
  std::unique_ptr<control_api::Router> router;
  bool up() const { return process && !process->dead; }
};

struct SimulatedBackend {
  std::string service, version, zone, instance, address;
  bool alive = true, leaving = false;
  bool foreign =
      false;  // an unrelated program: runs every request, responds with 421, never sends heartbeats
  int bad_percent = 0, lose_percent = 0, wrong_percent = 0, refuse_percent = 0;
  std::function<void(const std::string& by)>
      on_deregistered;  // called with the host that acknowledged the deregistration; no heartbeat follows
  Duration min_latency{1}, max_latency{8};
  int64_t max_age = 0, period_ms = 1000;
  int reported_load = 0;  // load from other clients, reported in its responses
  uint64_t heartbeats = 0;
  // Fault of a version: the factor by which a request is slower; 0: the request fails.
  std::function<int(const std::string& target)> slowdown;
  std::function<size_t(const std::string& target)> body_bytes;  // minimum size of its responses; null: 0
  // When the object at a target last changed. Its responses then state this time, are the same for all
  // clients, and have an ETag for conditional requests. Null: every response differs.
  std::function<int64_t(const std::string& target)> changed_at;
  TimePoint warm_at{0};  // until then it is twice as slow, and reports that
  int running = 0;
};

struct OperatorResponse {  // the response to an operator's request
  int status = 0;
  std::string body, etag;
  bool lost = false;
  std::string by;  // the host that responded
};

struct Exchange {                       // with one host
  bool complete = false, read = false;  // the response arrived; the process began to handle the request
  base::Response response;
};

class Fleet {
 public:
  Fleet(World& world, FleetShape shape);
  ~Fleet();
  void start(const std::string& host);
  void start_all();
  void kill(const std::string& host);
  void wipe(const std::string& host);
  void isolate(const std::string& host);  // both directions, from all other hosts
  Host& at(const std::string& name);
  std::vector<std::unique_ptr<Host>>& hosts() { return hosts_; }
  Host* random_host(bool only_ready);

  SimulatedBackend& add_backend(const std::string& service, const std::string& version, int64_t max_age);
  std::vector<std::unique_ptr<SimulatedBackend>>& backends() { return backends_; }

  // For fibers of outside clients and operators.
  int call(const std::string& method, const std::string& target, const std::string& body = {},
           Host* to = nullptr);
  void generate_requests(int per_second, TimePoint until, std::function<void()> one);
  OperatorResponse operator_call(const std::string& method, const std::string& target,
                                 const std::string& body, base::Headers headers = {});
  Exchange exchange(Host& to, base::Request request, bool control, Duration timeout);
  void spawn_outside(std::function<void()> f);
  void sleep(Duration s);
  bool wait_until(Duration timeout, const std::function<bool()>& f);
  void event(const std::string& fields);

  bool breaks(const std::string& host,
              const std::string& what);  // whether the release of the host breaks `what`
  FleetShape& mutable_shape() { return shape_; }
  World& world() { return world_; }
  const FleetShape& shape() const { return shape_; }
  NetworkConditions normal_conditions() const {
    return {0, 0, shape_.min_delay, shape_.max_delay};
  }                 // of the network without injected faults
  void kill_all();  // kills all hosts, so that every fiber unwinds
  uint64_t calls = 0, good = 0;

 private:
  friend class SimOrigin;
  double link_mbps(const Host& host) const;
  void send_heartbeat(SimulatedBackend& backend);
  World& world_;
  FleetShape shape_;
  Directory directory_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<SimulatedBackend>> backends_;
  struct TerminatedHost;
  std::vector<std::unique_ptr<TerminatedHost>> terminated_;
  ProcessRunPtr outside_process_;
  uint64_t next_request_id_ = 0;
  bool started_before_ = false;  // all hosts were started once
};

}  // namespace dunlinwing::simulation
