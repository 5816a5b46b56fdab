#include "limits/retry_budget.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kMargin = 0.75;  // of the allowance: requests arrive less evenly than they are sent

int64_t usable_allowance(int64_t allowance) {
  return static_cast<int64_t>(kMargin * static_cast<double>(allowance));
}

int64_t even_share(int64_t total, const AllowanceParticipant& participant) {
  const int64_t count = std::max(participant.nodes, 1);
  return total / count + (participant.rank < total % count);
}
}  // namespace

int allowance_of_node(int64_t allowance, const AllowanceParticipant& participant) {
  const int64_t total = usable_allowance(allowance);
  return static_cast<int>(participant.share ? integer_share(total, *participant.share)
                                            : even_share(total, participant));
}

int retry_allowance_of_node(int64_t allowance, const AllowanceParticipant& participant) {
  const int64_t total = usable_allowance(allowance);
  if (!participant.share || total <= participant.nodes) return allowance_of_node(allowance, participant);
  return 1 + static_cast<int>(integer_share(total - participant.nodes, *participant.share));
}

void RetryBudget::record_request(const std::string& service, double earned) {
  std::lock_guard lock(mutex_);
  earned_[service] += earned;
}

bool RetryBudget::try_acquire(const std::string& service, int allowance) {
  std::lock_guard lock(mutex_);
  auto& left = earned_[service];
  left = std::min(left, static_cast<double>(allowance));
  if (left < 1) return false;
  left -= 1;
  return true;
}

}  // namespace dunlinwing::limits
