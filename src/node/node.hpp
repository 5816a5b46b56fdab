/// @file
/// One node, assembled from its components on top of the given ports; used by the real program and by the
/// simulation.
///
/// Threads: all control work runs on one thread. Node::handle(), Node::handle_forwarded(), Node::generation()
/// and Node::ready() may be called from any thread.
#pragma once
#include "consensus/register_updater.hpp"
#include "membership/leadership.hpp"
#include "proxy/request_handler.hpp"
#include "rollout/rollout_controller.hpp"
#include "software/artifacts.hpp"

namespace dunlinwing::node {

struct NodeConfig {
  std::string name;
  std::string zone;
  std::string peer_address;                  ///< IP:port at which other nodes call this one
  std::string control_address;               ///< IP:port of its control API; empty: it has none
  std::vector<consensus::Replica> replicas;  ///< empty: the seeds form the first set
  std::vector<std::string> seeds;            ///< IP:port of control APIs
  bool initial_boot = true;                  ///< the whole fleet starts for the first time
  int tolerate = 0;              ///< replicas that may fail at once; 0: only operators change the replica set
  bool shield = false;           ///< dedicated to fetching for other nodes: serves only forwarded requests
  Duration bound{2000};          ///< for every node to act on a change; scales the other times
  double scale = 1;              ///< divides the hold times of a rollout; above 1 in tests only
  config::SystemOptions system;  ///< applies while no system release is active
  int max_sockets = 0;           ///< limit on open sockets of the process; 0: not configured
  double link_mbps = 0;          ///< rate of the machine's network link; 0: not configured
  size_t max_cache_bytes = SIZE_MAX;                               ///< limit on cached responses
  std::shared_ptr<const proxy::ProtocolAdapter> protocol_adapter;  ///< null: the native adapter
};

class Node {
 public:
  /// @param disk  null on a machine that stores no state; otherwise must outlive the node
  Node(base::Ports& ports, NodeConfig config, base::Disk* disk);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  void start();

  /// Handles a request of another node, except forwarded ones: see handle_forwarded().
  pb::PeerResponse handle_peer_request(const pb::PeerRequest& request);

  /// Handles a client's request.
  base::Response handle(base::Request& request);

  /// Handles a request that another node has forwarded to this one as a shield.
  pb::ForwardResponse handle_forwarded(const pb::ForwardRequest& forward,
                                       const base::CancellationPtr& cancellation = {});

  /// Records durably that a backend instance shuts down; returns false when that failed.
  using Deregister = std::function<bool(const std::string& instance)>;

  /// Records the heartbeat of a backend instance.
  /// @param deregister  called when the instance says that it is leaving
  /// @return true once a majority of the replicas has received it
  bool accept_heartbeat(const pb::Heartbeat& heartbeat, const Deregister& deregister);

  /// Handles a write that another node has forwarded to this one.
  using WriteHandler = std::function<pb::ForwardedWriteResponse(const pb::ForwardedWrite&)>;

  /// Until this is called, forwarded writes fail.
  void set_write_handler(WriteHandler handler);

  /// Whether this node may receive client requests.
  bool ready() const;

  /// Whether this node is a replica that another node can still replace before the process ends.
  bool can_transfer_replica() const;

  /// Marks the node as not ready, transfers its leadership and notifies the other nodes that it is leaving.
  /// Requests are still served.
  void begin_shutdown();

  const NodeConfig& config() const;
  membership::StateCache& state_cache();
  consensus::RegisterClient& registers();
  consensus::RegisterUpdater& register_updater();
  membership::Leadership& leadership();
  consensus::Acceptor* acceptor();  ///< null without a disk
  proxy::RequestHandler& request_handler();

  /// Replaces the addresses used to discover the fleet: IP:port of control APIs.
  void set_seeds(std::vector<std::string> addresses);

  /// The generation of the active assignment.
  uint64_t generation() const;

  /// The name of the active configuration; empty: none yet.
  std::string configuration_name() const;

  /// The software that is assigned to this node but does not run on it.
  std::optional<software::SoftwareRelease> pending_software() const;

  /// Reports to the fleet why the pending software can't be loaded; empty: no error.
  void report_software_error(const std::string& error);

  /// @param artifacts  handles artifact requests of other nodes; null: such requests fail
  void set_artifacts(software::Artifacts* artifacts);
  software::Artifacts* artifacts();

  /// The machine's network link; null: its rate is unknown.
  const link::Link* link() const;

  /// The account of what requests and responses take.
  const base::MemoryAccount& memory() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The name of the register that records whether operators have drained a node or a zone.
/// @param scope  "node" or "zone"
/// @param name   of the node or zone
std::string drain_key(const std::string& scope, const std::string& name);

}  // namespace dunlinwing::node
