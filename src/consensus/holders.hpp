// The set of holders, with its epoch, as one node knows it. Sets of neighbouring
// epochs differ by one machine, so their majorities always meet.
#pragma once
#include "consensus/ask.hpp"

namespace dunlinwing::consensus {

class Holders {
 public:
  explicit Holders(std::vector<Holder> first);
  bool adopt(const pb::HolderSet& s);  // true when it was newer
  uint64_t epoch() const { return epoch_; }
  const std::vector<Holder>& all() const { return all_; }
  size_t majority() const { return all_.size() / 2 + 1; }
  bool has(const std::string& name) const;
  pb::HolderSet message() const;

 private:
  uint64_t epoch_ = 0;
  std::vector<Holder> all_;
};

inline constexpr const char* kHoldersKey = "holders";

enum class SetDefect { not_one_step, too_few, no_majority, fate_unknown, raced };

}  // namespace dunlinwing::consensus
