/// @file
/// Reads a register without a proposal: the replicas report their ballots, and one of them then sends the
/// value, so that a read costs one copy of the value at most.
///
/// Threads: used by the fibers of the control thread only. Calls wait for the network.
#pragma once
#include "consensus/vote_collector.hpp"

namespace dunlinwing::consensus {

/// What a read found.
struct ReadAttempt {
  std::optional<pb::Value> value;  ///< the value in force, if a quorum agrees on it
  /// A quorum responded, and some replicas have accepted a value that may not be chosen yet.
  bool half_written = false;
};

/// Reads one register, any number of times.
class RegisterReader {
 public:
  /// @param known  a state of the register that this node holds; its value need not be sent again
  RegisterReader(VoteCollector& collector, std::string name, pb::RegisterState known)
      : collector_(collector), name_(std::move(name)), known_(std::move(known)) {}

  ReadAttempt read(const ReplicaSetView& set);

  /// Returns the value that was accepted at the ballot, as VoteCollector::value_at does, unless it is known.
  std::optional<pb::Value> value_at(const pb::Ballot& ballot, const PeerResponses& responses);

  const std::string& name() const { return name_; }

 private:
  VoteCollector& collector_;
  const std::string name_;
  pb::RegisterState known_;
};

}  // namespace dunlinwing::consensus
