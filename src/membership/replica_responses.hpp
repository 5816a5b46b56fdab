/// @file
/// What each replica last reported to this node about its registers, and when: the evidence by which a node
/// determines a register's chosen value. Does no I/O; used by the control thread only.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "consensus/replica_set.hpp"

namespace dunlinwing::membership {

/// How long ago a replica last responded, and last responded as a voting replica.
struct ReplicaContact {
  Duration since_response{0}, since_vote{0};
};

/// The latest reports of all replicas.
class ReplicaResponses {
 public:
  /// @param lifetime  how long a response is valid, counted from when its request was sent. An older one may
  ///                  come from a disk that has been lost since
  explicit ReplicaResponses(Duration lifetime) : lifetime_(lifetime) {}

  /// Records the response to a request that was sent at `requested_at`. Values that it leaves out are those
  /// that other replicas reported.
  /// @return the names of the registers that it reports
  std::vector<std::string> record(const std::string& replica, const pb::PullResponse& response,
                                  TimePoint requested_at, TimePoint now);

  /// Sets in `pull` the position from which the replica has to report.
  void set_position(const std::string& replica, pb::PullRequest& pull) const;

  /// The names of all registers that any replica reported, sorted.
  std::vector<std::string> names() const;

  /// What a replica last reported about a register; null: nothing.
  const pb::RegisterState* reported_by(const std::string& replica, const std::string& name) const;

  /// The state of a register with the highest ballot that any replica of `set` reported; null: none did.
  const pb::RegisterState* latest(const consensus::ReplicaSetView& set, const std::string& name) const;

  /// The latest known state of a register if a quorum of `set` has accepted its ballot and reported so within
  /// the lifetime of responses; else null. A state that a replica copied in a refill does not count as a
  /// vote.
  const pb::RegisterState* latest_at_quorum(const consensus::ReplicaSetView& set, const std::string& name,
                                            TimePoint now) const;

  /// Whether the replica responded as a voting replica less than `within` ago.
  bool voted_within(const std::string& replica, TimePoint now, Duration within) const;

  /// Ages are counted from `since` if there was no response after it.
  ReplicaContact contact(const std::string& replica, TimePoint now, TimePoint since) const;

 private:
  struct Report {
    uint64_t boot_id = 0;       ///< of the process that responded last
    uint64_t position = 0;      ///< of the last register change that it reported
    TimePoint responded_at{0};  ///< 0: never
    TimePoint requested_at{0};  ///< when the last request that it responded to was sent
    TimePoint voted_at{0};      ///< when it last responded as a voting replica; 0: never
    std::map<std::string, pb::RegisterState> registers;  ///< by name, as reported by this process
  };

  /// The state that some replica reported at this ballot; null: none did.
  const pb::RegisterState* reported_at(const pb::HeldRegister& held) const;
  const Report* find(const std::string& replica) const;
  bool responded_in_time(const std::string& replica, TimePoint now) const;

  Duration lifetime_;
  std::map<std::string, Report> reports_;  ///< by replica
};

}  // namespace dunlinwing::membership
