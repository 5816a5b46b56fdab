// Each share may be early by one request, so N shares may be early by N in any
// five seconds. What is handed out, and to how many, leaves room for that within
// a tenth of the rate; the rest of the margin is for uneven arrival.
#include "limits/rate_quotas.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwing::limits {
namespace {
constexpr double kHandedOut = 0.97;
constexpr double kFloor = 0.2;    // of the rate, spread evenly, so that no relay starts from nothing
constexpr double kChange = 0.15;  // smaller wishes are not worth a write

std::map<std::string, uint32_t> wish(const QuotaInput& input) {
  std::vector<std::pair<double, std::string>> by;
  for (auto& [n, d] : input.demand) by.emplace_back(d, n);
  std::stable_sort(by.begin(), by.end(), [](auto& a, auto& b) { return a.first > b.first; });
  auto rate = static_cast<double>(input.rate);
  auto most = std::max<size_t>(1, static_cast<size_t>(rate / 2.5));
  if (by.size() > most) by.resize(most);
  double all = 0, n = static_cast<double>(by.size());
  for (auto& [d, k] : by) all += d;
  double out = std::max(rate * 0.5, std::min(rate * kHandedOut, rate * 1.1 - n / 5));
  std::map<std::string, uint32_t> m;
  for (auto& [d, k] : by) {
    double part = all > 0 ? kFloor / n + (1 - kFloor) * d / all : 1 / n;
    m[k] = static_cast<uint32_t>(std::floor(part * out * 1000));
  }
  return m;
}
}  // namespace

std::string quota_key(const std::string& s) { return "share/" + s; }

QuotaStep step(const pb::RateQuotas& quotas, const QuotaInput& input) {
  QuotaStep o{quotas, false, false};
  auto want = wish(input);
  auto& have = *o.quotas.mutable_milli_requests();
  uint64_t sum = 0, cap = static_cast<uint64_t>(input.rate) * 1000;
  bool shrink = quotas.rate() > static_cast<uint32_t>(input.rate);
  for (auto& [n, m] : quotas.milli_requests()) {
    auto f = want.find(n);
    uint32_t w = f == want.end() ? 0 : f->second;
    if (w < m && (shrink || w == 0 || w < m * (1 - kChange))) {
      have[n] = w;
      o.decreased = true;
    }
  }
  if (o.decreased) {
    for (auto& [n, m] : quotas.milli_requests())
      if (!have[n]) have.erase(n);
    o.quotas.set_rate(static_cast<uint32_t>(input.rate));
    return o;
  }
  if (input.since_decrease < input.bound) return o;
  for (auto& [n, m] : quotas.milli_requests()) sum += m;
  for (auto& [n, w] : want) {
    uint32_t m = have.count(n) ? have[n] : 0;
    if (w <= m * (1 + kChange)) continue;
    auto add = std::min<uint64_t>(w - m, cap > sum ? cap - sum : 0);
    if (!add) continue;
    have[n] = static_cast<uint32_t>(m + add);
    sum += add;
    o.increased = true;
  }
  o.quotas.set_rate(static_cast<uint32_t>(input.rate));
  return o;
}

}  // namespace dunlinwing::limits
