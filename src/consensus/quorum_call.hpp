// Asking many at once: every target is asked by a fiber of its own, and the
// caller goes on as soon as it has heard enough.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::consensus {

struct Replica {
  std::string name, address;
  bool operator==(const Replica&) const = default;
};

using PeerResponses = std::vector<std::optional<pb::PeerResponse>>;
using StopCondition = std::function<bool(const PeerResponses&)>;
using LocalReplica = std::function<pb::PeerResponse(const pb::PeerRequest&)>;

// `local` answers for the target named `me`, without the network.
PeerResponses call_replicas(base::Ports& ports, const std::vector<Replica>& ts,
                            const std::function<pb::PeerRequest(size_t)>& make, Duration limit,
                            const StopCondition& enough, const std::string& node_name = {},
                            const LocalReplica& local = {});

}  // namespace dunlinwing::consensus
