/// @file
/// Chooses the backend instance of an attempt: among a few drawn at random (the power of several choices) the
/// one with the lowest expected latency, from its mean latency and its load. The node's own zone is preferred
/// while it has spare capacity. Instances that fail repeatedly are ejected for a period that doubles each
/// time, and are then probed by one attempt at a time until one succeeds (outlier detection); if all
/// instances of a service are ejected, they are used nevertheless.
///
/// An instance's load is the greater of this node's requests there and the load that the instance last
/// reported. The reported load decays, since this node does not see other nodes' requests end. Latency is
/// measured only on responses whose instance reports no waiting requests.
///
/// Threads: every function but set_node_name() may be called from any thread. The one lock is a leaf.
#pragma once
#include <mutex>

#include "base/ports.hpp"
#include "proxy/protocol_adapter.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

struct BackendSelection {
  membership::BackendInstance instance;
  Duration expected{0};  ///< latency until its response
  Duration queueing{0};  ///< the part of `expected` spent waiting behind other requests
};

/// What an attempt shows about the health of its instance.
enum class AttemptHealth {
  healthy,      ///< a valid response, or a report that the request was not executed
  failed,       ///< a failed, invalid or missing response
  unreachable,  ///< the connection failed: nothing was sent
  unknown,      ///< the attempt was cancelled before its outcome was known
};

struct AttemptReport {
  AttemptHealth health = AttemptHealth::failed;
  std::optional<BackendLoad> load;  ///< as reported in the response
  Duration latency{0};              ///< 0: no latency sample
};

class LoadBalancer {
 public:
  LoadBalancer(base::Clock& clock, base::Random& random);
  ~LoadBalancer();

  /// Chooses an instance. The caller must call attempt_started() when it sends the request.
  /// @param instances   of one service
  /// @param versions    the eligible versions
  /// @param zone        of this node
  /// @param tried       names of instances that must not be chosen again
  /// @param subset_size if more instances than this are eligible, the node uses its own subset of this size,
  ///                    which stays the same while its members are eligible
  /// @return nothing when all instances of these versions were tried
  std::optional<BackendSelection> choose(const std::vector<membership::BackendInstance>& instances,
                                         const std::vector<std::string>& versions, const std::string& zone,
                                         const std::vector<std::string>& tried,
                                         size_t subset_size = SIZE_MAX);

  /// Sets the node name from which this node's subsets are computed. To be called before any other function.
  void set_node_name(const std::string& node_name);

  void attempt_started(const membership::BackendInstance& instance);
  void attempt_finished(const membership::BackendInstance& instance, const AttemptReport& report);

  /// Ejects an instance for the longest period because another instance responds at its address.
  void mark_wrong_instance(const membership::BackendInstance& instance);

  /// Whether the latency of this report would be a sample of how long requests take.
  static bool is_latency_sample(const membership::BackendInstance& instance, const AttemptReport& report,
                                TimePoint now);

  /// Removes the state of all other instances without a running attempt.
  void retain(const std::vector<std::string>& instances);

  /// The mean latency of the service; 0 while unknown.
  Duration typical_latency(const std::string& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
