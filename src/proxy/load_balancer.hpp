// Choosing a worker by the time it is expected to take: what it usually takes, its
// load as last told and as this relay knows it, own zone first while that has room.
// A worker that keeps failing is set aside for a while and tried again by single
// requests; never are all workers of a service set aside at once.
#pragma once
#include <mutex>

#include "base/ports.hpp"
#include "proxy/protocol_adapter.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

struct BackendSelection {
  membership::BackendInstance instance;
  Duration expected{0};  // until its answer
  Duration queueing{0};  // the part of it spent behind others there
};

struct AttemptReport {
  bool good = false, unsent = false;
  std::optional<BackendLoad> load;
  Duration latency{0};
};

class LoadBalancer {
 public:
  LoadBalancer(base::Clock& clock, base::Random& r);
  ~LoadBalancer();
  // Null when no worker of these versions is left that is not in `tried`. Of more than
  // `few` that fit, this relay uses its own few, the same as long as they fit.
  std::optional<BackendSelection> choose(const std::vector<membership::BackendInstance>& instances,
                                         const std::vector<std::string>& versions, const std::string& zone,
                                         const std::vector<std::string>& tried, size_t few = SIZE_MAX);
  void set_node_name(const std::string& relay);  // by which this relay's few are drawn
  void attempt_started(const membership::BackendInstance& instance);
  void attempt_finished(const membership::BackendInstance& instance, const AttemptReport& e);
  // Somebody else stands at its address: it is left alone until it is known again.
  void mark_wrong_instance(const membership::BackendInstance& instance);
  void retain(const std::vector<std::string>& alive);
  // What an answer of this service usually takes; 0 while nothing is known.
  Duration typical_latency(const std::string& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
