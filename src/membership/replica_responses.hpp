// What each replica last told this node of its registers, and when: the ground on which a
// node takes a register's value for chosen. Does no I/O; used by the thread that runs control.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "consensus/replica_set.hpp"

namespace dunlinwing::membership {

// How long ago a replica last answered, and last answered as one that votes.
struct ReplicaContact {
  Duration since_response{0}, since_vote{0};
};

class ReplicaResponses {
 public:
  // `word_limit`: how long an answer counts, from the moment it was asked for. An older one may
  // come from a disk that was lost since.
  explicit ReplicaResponses(Duration word_limit) : word_limit_(word_limit) {}

  // Takes an answer to what was asked at `asked`; the names of the registers that it tells of.
  std::vector<std::string> take(const std::string& replica, const pb::PullResponse& reply, TimePoint asked,
                                TimePoint now);
  // States in `pull` from where the replica is to go on telling.
  void set_position(const std::string& replica, pb::PullRequest& pull) const;
  // The names of all registers that anyone told of.
  std::vector<std::string> names() const;
  // What a replica last told of a register; null: nothing.
  const pb::RegisterState* reported_by(const std::string& replica, const std::string& name) const;
  // The latest state known for a register, when a quorum of `set` has accepted its ballot and
  // said so in time; else null.
  const pb::RegisterState* latest_at_quorum(const consensus::ReplicaSetView& set, const std::string& name,
                                            TimePoint now) const;
  // Whether the replica answered as one that votes less than `within` ago.
  bool voted_within(const std::string& replica, TimePoint now, Duration within) const;
  // Counted from `since` for what never was, or was before.
  ReplicaContact contact(const std::string& replica, TimePoint now, TimePoint since) const;

 private:
  struct Answers {
    uint64_t boot = 0, seen = 0;
    TimePoint answered{0};
    TimePoint asked{0};  // when the ask began that it last answered
    TimePoint voted{0};  // when it last answered and was not mute
    std::map<std::string, pb::RegisterState> registers;
  };
  const Answers* find(const std::string& replica) const;
  bool told_in_time(const std::string& replica, TimePoint now) const;

  Duration word_limit_;
  std::map<std::string, Answers> by_replica_;
};

}  // namespace dunlinwing::membership
