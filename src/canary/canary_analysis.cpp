// Counts are kept by incarnation, so that a relay's restart in a trial takes
// nothing away from what it had told before.
#include "canary/canary_analysis.hpp"

#include <algorithm>

namespace dunlinwing::canary {

void CanaryAnalysis::update(const std::map<std::string, pb::ServiceState>& states,
                            const std::map<std::string, pb::NodeStatus>& statuses, uint64_t limit) {
  statistics_.update(states, statuses);
  for (auto& [name, s] : states) {
    auto& c = canaries_[name];
    if (s.canary().empty()) {
      aborted_.erase(name);
      continue;
    }
    if (c.number != s.canary_number()) {
      c = {s.canary_number(), {}};
      aborted_.erase(name);
    }
    bool told = false;
    for (auto& [src, n] : statuses)
      for (auto& t : n.canary_counts()) {
        if (t.service() != name || t.number() != c.number) continue;
        auto& b = c.bad[{src, n.version().incarnation()}];
        b = std::max(b, t.bad());
        told |= t.aborted();
      }
    uint64_t sum = 0;
    for (auto& [k, b] : c.bad) sum += b;
    told |= s.deadline_ms() && is_clearly_worse(statistics_.at(name));
    if (told || std::max(sum, s.bad()) >= limit) aborted_.insert(name);
  }
}

}  // namespace dunlinwing::canary
