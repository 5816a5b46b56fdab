/// @file
/// Chooses the backend instance of an attempt: the one that is expected to answer first among a few drawn
/// at random (the power of several choices), by its usual latency and its load, with the own zone preferred
/// while that has room. Instances that keep failing are ejected for a while that doubles each time, and come
/// back by single probes (outlier detection); all instances of a service are never ejected at once.
///
/// An instance's load is the greater of what this node has running there and what the instance last
/// reported. The report fades, since the end of other nodes' requests is not seen. Latency is learnt only
/// from responses that had nothing waiting before them.
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
  Duration expected{0};  ///< until its response
  Duration queueing{0};  ///< the part of it that is spent behind other requests
};

/// What an attempt says of the health of its instance.
enum class AttemptHealth {
  healthy,      ///< it responded as it should, or said that it did not execute the request
  failed,       ///< a failed, invalid or missing response
  unreachable,  ///< no connection: nothing was sent
  unknown,      ///< the attempt was given up before it could tell
};

struct AttemptReport {
  AttemptHealth health = AttemptHealth::failed;
  std::optional<BackendLoad> load;  ///< as the response reports it
  Duration latency{0};              ///< 0: says nothing of the instance's speed
};

class LoadBalancer {
 public:
  LoadBalancer(base::Clock& clock, base::Random& random);
  ~LoadBalancer();

  /// Chooses an instance. It counts as chosen only: attempt_started() is the caller's to say.
  /// @param instances   of one service
  /// @param versions    that may be chosen
  /// @param zone        this node's
  /// @param tried       names of instances that are not to be chosen again
  /// @param subset_size of more instances than this that fit, the node uses its own subset, the same one as
  ///                    long as its members fit
  /// @return nothing when no instance of these versions is left that was not tried
  std::optional<BackendSelection> choose(const std::vector<membership::BackendInstance>& instances,
                                         const std::vector<std::string>& versions, const std::string& zone,
                                         const std::vector<std::string>& tried,
                                         size_t subset_size = SIZE_MAX);

  /// The name by which this node's subsets are drawn. To be called before any other function.
  void set_node_name(const std::string& node_name);

  void attempt_started(const membership::BackendInstance& instance);
  void attempt_finished(const membership::BackendInstance& instance, const AttemptReport& report);

  /// Another instance has its address: it is ejected for the longest time, unless it is heard of again.
  void mark_wrong_instance(const membership::BackendInstance& instance);

  /// Forgets instances that are not named and have no attempt running.
  void retain(const std::vector<std::string>& instances);

  /// The latency that is usual for the service; 0 while nothing is known.
  Duration typical_latency(const std::string& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
