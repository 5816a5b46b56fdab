/// @file
/// One node's view of the replicas that vote on registers.
///
/// A set is either stable (one list of replicas) or joint (the previous and the new list, during a change). A
/// quorum of a stable set is a majority of it; a quorum of a joint set contains a majority of each list.
///
/// Invariant: quorums of sets with consecutive epochs always intersect, however many replicas are replaced in
/// one step.
/// Threads: used by the control thread only.
#pragma once
#include "consensus/quorum_call.hpp"

namespace dunlinwing::consensus {

/// One flag for each member, in the order of ReplicaSetView::all().
using MemberFlags = std::vector<bool>;

/// The latest replica set known to a node.
class ReplicaSetView {
 public:
  /// @param initial  the list before any set is adopted, of epoch 0
  explicit ReplicaSetView(std::vector<Replica> initial);

  /// Replaces the current set if the epoch of the given one is higher.
  /// @return whether it was replaced
  bool adopt(const pb::ReplicaSet& set);

  uint64_t epoch() const { return epoch_; }
  /// Every member once: those of the current list, then those only on the previous one.
  const std::vector<Replica>& all() const { return all_; }
  const std::vector<Replica>& current() const { return current_; }
  /// The list that a change replaces; empty when the set is stable.
  const std::vector<Replica>& previous() const { return previous_; }
  /// Whether a change of the set is in progress.
  bool joint() const { return !previous_.empty(); }
  /// The list whose majorities have every chosen value: during a change, the previous one.
  const std::vector<Replica>& complete_list() const { return joint() ? previous_ : current_; }

  [[nodiscard]] bool is_quorum(const MemberFlags& members) const;
  /// The smallest count such that any subset of all() of this size is a quorum.
  size_t sufficient_count() const;
  /// Whether the node is a member.
  bool has(const std::string& name) const;
  pb::ReplicaSet message() const;

 private:
  void collect_members();

  uint64_t epoch_ = 0;  ///< never decreases
  std::vector<Replica> current_, previous_;
  std::vector<Replica> all_;  ///< derived from the two lists
};

[[nodiscard]] bool contains(const std::vector<Replica>& list, const Replica& replica);
[[nodiscard]] bool contains_name(const std::vector<Replica>& list, const std::string& name);
inline size_t majority_of(size_t replicas) { return replicas / 2 + 1; }

/// The name of the register that contains the replica set; stored, so it never changes.
inline constexpr const char* kReplicaSetKey = "holders";

/// Why a change of the set failed.
enum class ReplicaSetError {
  no_change,        ///< the wanted list is the current one, or a change is already in progress
  too_few,          ///< too few replicas to tolerate the loss of one
  no_majority,      ///< nothing was changed
  outcome_unknown,  ///< the change may or may not have been written
  conflict,         ///< another change was written first
};

}  // namespace dunlinwing::consensus
