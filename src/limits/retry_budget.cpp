#include "limits/retry_budget.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kMargin = 0.75;  // of the allowance: requests arrive less evenly than they are sent
}  // namespace

int retry_allowance_of_node(int64_t allowance, int nodes, int rank) {
  auto total = static_cast<int64_t>(kMargin * static_cast<double>(allowance));
  int64_t count = std::max(nodes, 1);
  return static_cast<int>(total / count + (rank < total % count));
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
