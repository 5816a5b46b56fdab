/// @file
/// The Paxos proposer: reads and compare-and-sets registers by name, with a quorum of the replicas. Any node
/// can propose; there is no leader.
///
/// Invariants: a version of a register never has two values; a read returns no version older than one that
/// any call returned before the read began.
/// Threads: used by the fibers of the control thread only. Every call waits for the network; it begins no
/// round after five round timeouts.
#pragma once
#include "base/ports.hpp"
#include "consensus/operation_totals.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

struct VersionedValue {
  uint64_t version = 0;  ///< 0: nothing was ever written
  std::string data;
};

/// Another write replaced the expected version.
struct VersionConflict {
  VersionedValue current;
};

enum class RegisterError {
  no_majority,      ///< nothing was written
  outcome_unknown,  ///< the value may or may not have been written
};

using ReadResult = std::variant<VersionedValue, RegisterError>;
using WriteResult = std::variant<VersionedValue, VersionConflict, RegisterError>;
using ReplicaSetResult = std::variant<pb::ReplicaSet, ReplicaSetError>;
/// Returns the names of all registers, read after the call began; nothing when no quorum responds.
using RegisterNames = std::function<std::optional<std::vector<std::string>>()>;

class RegisterClient {
 public:
  /// @param round_timeout  of one round; later votes are not counted
  /// @param local          the replica in this process; null on a node that is not a replica
  RegisterClient(base::Ports& ports, std::string node_name, ReplicaSetView& set, Duration round_timeout,
                 LocalReplica local);
  ~RegisterClient();

  /// @param known  a state of the register that this node holds, if any; its value need not be sent again
  [[nodiscard]] ReadResult read(const std::string& name, const pb::RegisterState& known = {});
  /// Compare-and-set. The result may be ignored where a later write retries.
  /// @param expected_version  the version that the data replaces
  /// @return the value as written, with the version after the expected one; or why it was not written
  WriteResult write(const std::string& name, uint64_t expected_version, const std::string& data);

  /// Rewrites the value in force of each register, at the same version, so that a quorum of the current set
  /// has accepted it.
  /// @return false when a register could not be rewritten
  bool rewrite(const std::vector<std::string>& names);

  /// Starts a change of the replica set: from now on a quorum is a majority of each list.
  ReplicaSetResult begin_change(const std::vector<Replica>& wanted);
  /// Completes a change begun by any node: rewrites every register at a majority of the new list, then
  /// removes the old list.
  ReplicaSetResult finish_change(const RegisterNames& names);
  /// Begins and finishes a change, after finishing one that was already begun.
  ReplicaSetResult change(const std::vector<Replica>& wanted, const RegisterNames& names);

  /// The cost of all completed operations since the start.
  const TotalsByOperation& totals() const;

  /// See ReplicaSetView.
  size_t sufficient_count() const;
  const std::vector<Replica>& replicas() const;
  ReplicaSetView& replica_set();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::consensus
