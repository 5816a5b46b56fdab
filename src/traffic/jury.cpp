// Counts are kept by incarnation, so that a relay's restart in a trial takes
// nothing away from what it had told before.
#include "traffic/jury.hpp"

#include <algorithm>

namespace dunlinwing::traffic {

void Jury::hear(const std::map<std::string, pb::ServiceState>& states,
                const std::map<std::string, pb::NodeStatus>& statuses, uint64_t limit) {
  docket_.hear(states, statuses);
  for (auto& [name, s] : states) {
    auto& c = cases_[name];
    if (s.trial().empty()) {
      stopped_.erase(name);
      continue;
    }
    if (c.number != s.trial_number()) {
      c = {s.trial_number(), {}};
      stopped_.erase(name);
    }
    bool told = false;
    for (auto& [src, n] : statuses)
      for (auto& t : n.trials()) {
        if (t.service() != name || t.number() != c.number) continue;
        auto& b = c.bad[{src, n.mark().incarnation()}];
        b = std::max(b, t.bad());
        told |= t.stopped();
      }
    uint64_t sum = 0;
    for (auto& [k, b] : c.bad) sum += b;
    told |= s.within_ms() && plainly_worse(docket_.at(name));
    if (told || std::max(sum, s.bad()) >= limit) stopped_.insert(name);
  }
}

}  // namespace dunlinwing::traffic
