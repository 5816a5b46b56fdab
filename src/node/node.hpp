// One relay, put together from its parts over the ports it is given: the real
// program and the simulation both run this. All control runs on one thread;
// serve() and carry() may be called from any.
#pragma once
#include "membership/leadership.hpp"
#include "proxy/request_handler.hpp"
#include "rollout/rollout_controller.hpp"
#include "software/artifacts.hpp"

namespace dunlinwing::node {

struct NodeConfig {
  std::string name, zone, peer_address, http_address;
  std::vector<consensus::Replica> replicas;  // none: the first set forms out of the seeds
  std::vector<std::string> seeds;            // control addresses
  bool initial_boot = true;                  // of the whole fleet
  int tolerate = 0;  // holders that may be lost at once; 0: only operators change the set
  bool shield = false;
  Duration bound{2000};
  double scale = 1;
  config::SystemOptions system;       // in force while no system release is
  int max_sockets = 0;                // that the process may have open; 0: not stated
  size_t max_cache_bytes = SIZE_MAX;  // of this machine
  std::shared_ptr<const proxy::ProtocolAdapter> protocol_adapter;  // null: the product's own
};

class Node {
 public:
  // `disk` is null on a machine that holds no state.
  Node(base::Ports& ports, NodeConfig config, base::Disk* disk);
  ~Node();
  void start();
  pb::PeerResponse handle_peer_request(
      const pb::PeerRequest& request);  // what other nodes ask; not for carries
  base::Response handle(base::Request& request);
  pb::ForwardResponse handle_forwarded(const pb::ForwardRequest& forward);
  // Takes a worker's beat; true once a majority of holders has heard of it.
  bool accept_heartbeat(const pb::Heartbeat& heartbeat);
  // Records that a worker has ended; true once that lasts.
  bool deregister_instance(const std::string& instance);
  bool ready() const;
  // Whether this node is a replica whose place another one can still take before it ends.
  bool can_transfer_replica() const;
  void begin_shutdown();  // unready, duties handed over, the session ended; requests are still served

  const NodeConfig& config() const;
  membership::StateCache& state_cache();
  consensus::RegisterClient& registers();
  membership::Leadership& leadership();
  consensus::Acceptor* acceptor();
  void set_seeds(std::vector<std::string> addresses);
  proxy::RequestHandler& request_handler();
  uint64_t generation() const;
  std::string configuration_name() const;
  std::optional<software::SoftwareTarget> wanted_software() const;  // assigned, and not what runs
  void report_software_error(const std::string& why);
  void artifacts(software::Artifacts* a);
  software::Artifacts* artifacts();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

std::string drain_key(const std::string& what, const std::string& name);  // what: node or zone

}  // namespace dunlinwing::node
