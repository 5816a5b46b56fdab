// The shared table of replies outlives the caller, so that a late reply finds
// a place to go and is then forgotten.
#include "consensus/quorum_call.hpp"

namespace dunlinwing::consensus {

PeerResponses call_replicas(base::Ports& ports, const std::vector<Replica>& ts,
                            const std::function<pb::PeerRequest(size_t)>& make, Duration limit,
                            const StopCondition& enough, const std::string& node_name,
                            const LocalReplica& local) {
  struct Table {
    PeerResponses rs;
    size_t left;
    std::shared_ptr<base::Condition> condition;
  };
  auto t = std::make_shared<Table>();
  t->rs.resize(ts.size());
  t->left = ts.size();
  t->condition = ports.tasks.condition();
  auto end = ports.clock.now() + limit;
  for (size_t i = 0; i < ts.size(); ++i)
    ports.tasks.spawn(
        [&ports, t, i, to = ts[i], a = make(i), limit, mine = local && ts[i].name == node_name, local] {
          if (mine) {
            t->rs[i] = local(a);
          } else {
            auto r = ports.peers.call(to.address, a, limit);
            if (auto* response = std::get_if<pb::PeerResponse>(&r)) t->rs[i] = std::move(*response);
          }
          --t->left;
          t->condition->notify();
        });
  while (t->left && !enough(t->rs)) {
    auto now = ports.clock.now();
    if (now >= end) break;
    t->condition->wait(end - now);
  }
  return t->rs;
}

}  // namespace dunlinwing::consensus
