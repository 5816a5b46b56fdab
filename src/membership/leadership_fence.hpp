/// @file
/// The fence around what is written under the rollout leadership. Each such value carries the term of the
/// lease under which it was decided. A leader that was frozen, cut off or restarted between a decision and
/// its write changes nothing: its lease has ended, or its present lease is of another term than the decision,
/// or the value names a higher term, or its compare-and-set meets the version that its successor wrote when
/// it took over. Used by the thread that runs control only.
#pragma once
#include "consensus/register_client.hpp"
#include "membership/leadership.hpp"

namespace dunlinwing::membership {

/// What is known of this node's lease right before a write.
struct LeaseObservation {
  bool held = false;
  uint64_t term = 0;
};

/// Whether what was decided under the term `decided` may replace a value that carries the term `in_force`.
/// Pure.
[[nodiscard]] bool may_replace(const LeaseObservation& lease, uint64_t decided, uint64_t in_force);

/// Binds decisions to the lease under which they were made.
class LeadershipFence {
 public:
  /// @param leadership  has to outlive the fence
  explicit LeadershipFence(Leadership& leadership) : leadership_(leadership) {}

  /// Begins to observe the state: what is decided from here on belongs to the present lease.
  /// @return whether that lease is not the one of before, so that no earlier observation counts
  bool begin();

  /// The term of the decisions since begin().
  uint64_t term() const { return term_; }

  /// Whether the decision still stands against a value of the term `in_force`; asked right before each act.
  [[nodiscard]] bool allows(uint64_t in_force) const;

  /// Writes `next`, under this term, in place of the value of `version` whose term is `in_force`.
  /// @return nothing when the fence forbids it or the write failed; the register is then to be read anew
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
  Leadership& leadership_;
  uint64_t term_ = 0;  ///< of the lease at the last begin(); 0: none yet
};

}  // namespace dunlinwing::membership
