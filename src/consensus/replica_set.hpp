// The set of holders, with its epoch, as one node knows it. Sets of neighbouring
// epochs differ by one machine, so their majorities always meet.
#pragma once
#include "consensus/ask.hpp"

namespace dunlinwing::consensus {

class ReplicaSetView {
 public:
  explicit ReplicaSetView(std::vector<Replica> first);
  bool adopt(const pb::ReplicaSet& s);  // true when it was newer
  uint64_t epoch() const { return epoch_; }
  const std::vector<Replica>& all() const { return all_; }
  size_t majority() const { return all_.size() / 2 + 1; }
  bool has(const std::string& name) const;
  pb::ReplicaSet message() const;

 private:
  uint64_t epoch_ = 0;
  std::vector<Replica> all_;
};

inline constexpr const char* kReplicaSetKey = "holders";

enum class ReplicaSetError { not_one_step, too_few, no_majority, fate_unknown, raced };

}  // namespace dunlinwing::consensus
