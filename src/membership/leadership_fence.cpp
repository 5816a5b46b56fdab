#include "membership/leadership_fence.hpp"

namespace dunlinwing::membership {

bool may_replace(const LeaseObservation& lease, uint64_t decided, uint64_t in_force) {
  if (!lease.held) return false;
  if (lease.term != decided) return false;
  return in_force <= decided;
}

bool LeadershipFence::begin() {
  auto before = std::exchange(term_, leadership_.term());
  return before != term_;
}

bool LeadershipFence::allows(uint64_t in_force) const {
  return may_replace({leadership_.is_leader(), leadership_.term()}, term_, in_force);
}

}  // namespace dunlinwing::membership
