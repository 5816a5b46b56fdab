#include "membership/read_lease_log.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("membership");
}

void ReadLeaseLog::record_pull(const PullReport& pull) {
  if (pull.result == PullResult::good) {
    failed_ = 0;
    longest_ = Duration(0);
    return;
  }
  ++failed_;
  longest_ = std::max(longest_, pull.spent);
  last_ = pull;
}

bool ReadLeaseLog::record_lease_state(bool valid, Duration since_last_good_pull) {
  if (std::exchange(valid_, valid) == valid) return false;
  if (valid)
    logger.info("{}: the read lease is valid.", node_name_);
  else
    logger.warn(
        "{}: the read lease has expired: the last good pull began {} ms ago; {} pulls were not good since, "
        "the longest took {} ms, and in the last one {} of {} replicas responded, {} of them completely and "
        "as voting replicas{}.",
        node_name_, since_last_good_pull.count(), failed_, longest_.count(), last_.responded, last_.replicas,
        last_.voting, last_.unsettled ? "; a register could not be read" : "");
  return true;
}

}  // namespace dunlinwing::membership
