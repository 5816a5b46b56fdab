/// @file
/// The replicas that vote on registers, as one node knows them.
///
/// A set is either stable (one list of replicas) or joint (the list it is leaving and the list it goes to). A
/// quorum of a stable set is a majority of it; a quorum of a joint set holds a majority of each list.
///
/// Invariant: quorums of sets with neighbouring epochs always meet, however many replicas change places in
/// one step.
/// Threads: used by the thread that runs control only.
#pragma once
#include "consensus/quorum_call.hpp"

namespace dunlinwing::consensus {

/// Which members, in the order of ReplicaSetView::all(), did something.
using MemberFlags = std::vector<bool>;

/// The latest replica set that a node knows.
class ReplicaSetView {
 public:
  /// @param initial  the list before any set is adopted, of epoch 0
  explicit ReplicaSetView(std::vector<Replica> initial);

  /// Takes the set when its epoch is higher than the present one.
  /// @return whether it was taken
  bool adopt(const pb::ReplicaSet& set);

  uint64_t epoch() const { return epoch_; }
  /// Every member once: those of the current list, then those that are only on the previous one.
  const std::vector<Replica>& all() const { return all_; }
  const std::vector<Replica>& current() const { return current_; }
  /// The list that the set is leaving; empty when the set is stable.
  const std::vector<Replica>& previous() const { return previous_; }
  /// Whether a change of the set is under way.
  bool joint() const { return !previous_.empty(); }
  /// The list that holds everything ever chosen: while a change is under way, the one being left.
  const std::vector<Replica>& complete_list() const { return joint() ? previous_ : current_; }

  [[nodiscard]] bool is_quorum(const MemberFlags& members) const;
  /// The smallest count such that any so many members of all() are a quorum.
  size_t sufficient_count() const;
  /// Whether the node is a member.
  bool has(const std::string& name) const;
  pb::ReplicaSet message() const;

 private:
  void collect_members();

  uint64_t epoch_ = 0;  ///< only rises
  std::vector<Replica> current_, previous_;
  std::vector<Replica> all_;  ///< follows from the two lists
};

[[nodiscard]] bool contains(const std::vector<Replica>& list, const Replica& replica);
[[nodiscard]] bool contains_name(const std::vector<Replica>& list, const std::string& name);
inline size_t majority_of(size_t replicas) { return replicas / 2 + 1; }

/// The name of the register that holds the set; stored, so it never changes.
inline constexpr const char* kReplicaSetKey = "holders";

/// Why a change of the set did not come about.
enum class ReplicaSetError {
  no_change,     ///< the wanted list is the present one, or a change is already under way
  too_few,       ///< fewer replicas than can bear a loss
  no_majority,   ///< nothing was changed
  fate_unknown,  ///< the change may or may not have been written
  raced,         ///< another change came first
};

}  // namespace dunlinwing::consensus
