#include "limits/demand_share.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwing::limits {
namespace {
constexpr double kRounding = 1e-9;  // rounding errors of sums of shares are smaller
}  // namespace

int64_t integer_share(int64_t number, const DemandShare& share) {
  const auto end_of = [&](double part) {
    return static_cast<int64_t>(
        std::floor(static_cast<double>(number) * std::clamp(part, 0.0, 1.0) + kRounding));
  };
  return std::max<int64_t>(0, end_of(share.before + share.share) - end_of(share.before));
}

}  // namespace dunlinwing::limits
