// What a holder, with the leadership or without, sees of moves with a term, so that it can go
// on with them whenever the leadership comes to it: since when it knows of each, since when
// its workers are warm, and what came back.
#pragma once
#include "membership/state_cache.hpp"
#include "rollout/moves.hpp"

namespace dunlinwing::rollout {

class Watch {
 public:
  explicit Watch(Duration bound) : bound_(bound) {}
  void look(TimePoint now, const membership::Chosen& chosen,
            const std::map<std::string, pb::NodeStatus>& statuses,
            const std::map<std::string, membership::WorkerFact>& workers);
  void tell(TimePoint now, const std::string& service, const pb::ServiceState& s, MoveSight& v) const;

 private:
  struct Case {
    uint64_t number = 0;
    TimePoint asked{0}, warm{0}, switching{0};
    std::map<std::string, int> warm_workers;
  };
  Duration bound_;
  TimePoint last_{0};
  std::map<std::string, Case> cases_;
  traffic::Docket docket_;
};

}  // namespace dunlinwing::rollout
