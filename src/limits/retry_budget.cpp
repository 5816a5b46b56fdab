#include "limits/retry_budget.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kMargin = 0.75;  // of the allowance: requests arrive less evenly than they are sent

int64_t usable_allowance(int64_t allowance) {
  return static_cast<int64_t>(kMargin * static_cast<double>(allowance));
}

int64_t even_part(int64_t total, const AllowanceParticipant& sharer) {
  const int64_t count = std::max(sharer.nodes, 1);
  return total / count + (sharer.rank < total % count);
}
}  // namespace

int allowance_of_node(int64_t allowance, const AllowanceParticipant& sharer) {
  const int64_t total = usable_allowance(allowance);
  return static_cast<int>(sharer.share ? integer_share(total, *sharer.share) : even_part(total, sharer));
}

int retry_allowance_of_node(int64_t allowance, const AllowanceParticipant& sharer) {
  const int64_t total = usable_allowance(allowance);
  if (!sharer.share || total <= sharer.nodes) return allowance_of_node(allowance, sharer);
  return 1 + static_cast<int>(integer_share(total - sharer.nodes, *sharer.share));
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
