/// @file
/// Fences the writes of the rollout leader. Each value carries the term of the lease under which it was
/// decided. A leader that was frozen, partitioned or restarted between a decision and its write changes
/// nothing: its lease has expired, or its current lease has another term than the decision, or the value has
/// a higher term, or its compare-and-set fails on the version that its successor wrote when it took over.
/// Used by the control thread only.
#pragma once
#include "consensus/register_client.hpp"
#include "membership/leadership.hpp"

namespace dunlinwing::membership {

/// The state of this node's lease right before a write.
struct LeaseObservation {
  bool held = false;
  uint64_t term = 0;
};

/// Whether a decision made under the term `decided` may replace a value that carries the term `in_force`.
/// Pure.
[[nodiscard]] bool may_replace(const LeaseObservation& lease, uint64_t decided, uint64_t in_force);

/// Ties decisions to the lease under which they were made.
class LeadershipFence {
 public:
  /// @param leadership  has to outlive the fence
  explicit LeadershipFence(Leadership& leadership) : leadership_(leadership) {}

  /// Starts a round of observation and decision: decisions from here on belong to the current lease.
  /// @return whether the lease differs from that of the last begin(), so that earlier observations are
  ///         invalid
  bool begin();

  /// The term of the decisions since begin().
  uint64_t term() const { return term_; }

  /// Whether the decisions may still replace a value of the term `in_force`; to be checked right before each
  /// action.
  [[nodiscard]] bool allows(uint64_t in_force) const;

  /// Replaces the value of `version`, whose term is `in_force`, by `next` under this fence's term.
  /// @return nothing when the fence forbids it or the write failed; the caller then has to read the register
  ///         again
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
