// The fence around what is written under the rollout leadership. Each such value carries the
// term of the lease under which it was decided. A leader that was frozen, cut off or
// restarted between a decision and its write changes nothing: its lease has ended, or the
// lease it has now is of another term than the decision, or the value names a higher term,
// or its compare-and-set meets the version that its successor wrote when it took up.
#pragma once
#include "consensus/register_client.hpp"
#include "membership/leadership.hpp"

namespace dunlinwing::membership {

// What is known right before a write.
struct LeaseObservation {
  bool held = false;
  uint64_t term = 0;
};

// Whether what was decided under `decided` may replace a value that carries `in_force`. Pure.
bool may_replace(const LeaseObservation& lease, uint64_t decided, uint64_t in_force);

class LeadershipFence {
 public:
  explicit LeadershipFence(membership::Leadership& leadership) : leadership_(leadership) {}
  // Begins a look at the state: what is decided from here on belongs to the lease held now.
  // True when that lease is not the one of before, so that nothing seen earlier counts.
  bool begin();
  uint64_t term() const { return term_; }
  // Whether the decision still stands against a value of this term; asked right before each act.
  bool allows(uint64_t in_force) const;

  // Writes `next`, under this term, in place of the value of `version` whose term is `in_force`.
  // Nothing when the fence forbids it or the write failed; the register is then to be read anew.
  template <class State>
  std::optional<consensus::VersionedValue> write(consensus::RegisterClient& registers, const std::string& key,
                                                 uint64_t version, uint64_t in_force, State& next) const {
    if (!allows(in_force)) return {};
    next.set_term(term_);
    auto result = registers.write(key, version, next.SerializeAsString());
    auto* written = std::get_if<consensus::VersionedValue>(&result);
    return written ? std::optional(*written) : std::nullopt;
  }

 private:
  membership::Leadership& leadership_;
  uint64_t term_ = 0;
};

}  // namespace dunlinwing::membership
