/// @file
/// The proposing half of the registers: read and compare-and-set by name, over a quorum of the replicas. Any
/// node can do it; none leads.
///
/// Invariants: a version of a register has one value for ever; a read returns no version older than one that
/// any call returned before it began.
/// Threads: used by the fibers of the thread that runs control only. Every call waits for the network, at
/// most five times the timeout of a round.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

struct VersionedValue {
  uint64_t version = 0;  ///< 0: nothing was ever written
  std::string data;
};

/// Another write came first.
struct VersionConflict {
  VersionedValue current;
};

enum class RegisterError {
  no_majority,   ///< nothing was written
  fate_unknown,  ///< the value may or may not have been written
};

using ReadResult = std::variant<VersionedValue, RegisterError>;
using WriteResult = std::variant<VersionedValue, VersionConflict, RegisterError>;
using ReplicaSetResult = std::variant<pb::ReplicaSet, ReplicaSetError>;
/// The names of all registers, read after the call began; nothing when no quorum answers.
using RegisterNames = std::function<std::optional<std::vector<std::string>>()>;

class RegisterClient {
 public:
  /// @param round_timeout  of one round, after which its votes count no longer
  /// @param local          the replica of this process; null on a node that is none
  RegisterClient(base::Ports& ports, std::string node_name, ReplicaSetView& set, Duration round_timeout,
                 LocalReplica local);
  ~RegisterClient();

  [[nodiscard]] ReadResult read(const std::string& name);
  /// Compare-and-set. The result may be ignored where the next write tries again.
  /// @param expected_version  the version that the data replaces
  /// @return the value as written, of the version after the expected one; or why it was not
  WriteResult write(const std::string& name, uint64_t expected_version, const std::string& data);

  /// Writes the value in force of each register anew, at the same version, so that a quorum of the present
  /// set has accepted it.
  /// @return false when some could not be written
  bool rewrite(const std::vector<std::string>& names);

  /// Starts a change of the replica set: from now on a majority of both lists counts.
  ReplicaSetResult begin_change(const std::vector<Replica>& wanted);
  /// Ends the change under way, whoever began it: every register comes to stand at a majority of the new
  /// list, and then the old one counts no longer.
  ReplicaSetResult finish_change(const RegisterNames& names);
  /// Both, after finishing a change that was under way.
  ReplicaSetResult change(const std::vector<Replica>& wanted, const RegisterNames& names);

  /// See ReplicaSetView.
  size_t sufficient_count() const;
  const std::vector<Replica>& replicas() const;
  ReplicaSetView& set();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::consensus
