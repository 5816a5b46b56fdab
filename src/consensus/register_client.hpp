// The proposing half of the registers: read and compare-and-set by name, over a quorum of
// the replicas. Any node can do it; none leads. Used by the thread that runs control only;
// every call waits for the network, at most five times the limit of a round.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

struct VersionedValue {
  uint64_t version = 0;  // 0: nothing was ever written
  std::string data;
};
struct VersionConflict {
  VersionedValue current;
};
enum class RegisterError {
  no_majority,   // nothing was written
  fate_unknown,  // the value may or may not have been written
};

using ReadResult = std::variant<VersionedValue, RegisterError>;
using WriteResult = std::variant<VersionedValue, VersionConflict, RegisterError>;
using ReplicaSetResult = std::variant<pb::ReplicaSet, ReplicaSetError>;
// The names of all registers, read after the call began; nothing when no quorum answers.
using RegisterNames = std::function<std::optional<std::vector<std::string>>()>;

class RegisterClient {
 public:
  // `round`: the limit of one round, after which its votes count no longer.
  RegisterClient(base::Ports& ports, std::string node_name, ReplicaSetView& set, Duration round,
                 LocalReplica local);
  ~RegisterClient();
  ReadResult read(const std::string& name);
  WriteResult write(const std::string& name, uint64_t expect, const std::string& data);

  // Writes the value in force of each register anew; false when some could not be.
  bool rewrite(const std::vector<std::string>& names);

  // Starts a change of the replica set: from now on a majority of both lists counts.
  ReplicaSetResult begin_change(const std::vector<Replica>& to);
  // Ends the change under way, whoever began it: every register comes to stand at a majority
  // of the new list, and then the old one counts no longer.
  ReplicaSetResult finish_change(const RegisterNames& names);
  // Both, after finishing one that was under way.
  ReplicaSetResult change(const std::vector<Replica>& to, const RegisterNames& names);

  // See ReplicaSetView.
  size_t sufficient_count() const;
  const std::vector<Replica>& replicas() const;
  ReplicaSetView& set();

 private:
  struct Impl;
  ReplicaSetResult write_set(const pb::ReplicaSet& next, uint64_t from_epoch);
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::consensus
