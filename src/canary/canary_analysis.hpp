// What a relay itself makes of a version on trial: it adds up the bad answers that
// all relays tell of, over their restarts, and gives the trial up when they are too
// many or when any relay says that it has; one with a term also when it is plainly worse. It needs no holder
// of a leadership for that; the leadership only makes the verdict last.
#pragma once
#include <set>

#include "canary/canary_statistics.hpp"

namespace dunlinwing::canary {

class CanaryAnalysis {
 public:
  // `states` by service; `statuses` by source, this relay's own among them.
  void update(const std::map<std::string, pb::ServiceState>& states,
              const std::map<std::string, pb::NodeStatus>& statuses, uint64_t limit);
  bool is_aborted(const std::string& service) const { return aborted_.count(service) > 0; }
  const std::set<std::string>& aborted() const { return aborted_; }

 private:
  struct Canary {
    uint64_t number = 0;
    std::map<std::pair<std::string, uint64_t>, uint64_t> bad;  // by source and incarnation
  };
  std::map<std::string, Canary> canaries_;
  CanaryStatistics statistics_;
  std::set<std::string> aborted_;
};

}  // namespace dunlinwing::canary
