// What a relay itself makes of a version on trial: it adds up the bad answers that
// all relays tell of, over their restarts, and gives the trial up when they are too
// many or when any relay says that it has; one with a term also when it is plainly worse. It needs no holder
// of a leadership for that; the leadership only makes the verdict last.
#pragma once
#include <set>

#include "traffic/docket.hpp"

namespace dunlinwing::traffic {

class Jury {
 public:
  // `states` by service; `statuses` by source, this relay's own among them.
  void hear(const std::map<std::string, pb::ServiceState>& states,
            const std::map<std::string, pb::NodeStatus>& statuses, uint64_t limit);
  bool stopped(const std::string& service) const { return stopped_.count(service) > 0; }
  const std::set<std::string>& all_stopped() const { return stopped_; }

 private:
  struct Case {
    uint64_t number = 0;
    std::map<std::pair<std::string, uint64_t>, uint64_t> bad;  // by source and incarnation
  };
  std::map<std::string, Case> cases_;
  Docket docket_;
  std::set<std::string> stopped_;
};

}  // namespace dunlinwing::traffic
