// Each request sent earns a fifth of a repeat, and no more is ever saved up than
// this relay's part of the allowance: so no stretch of time, ten seconds or
// other, can hold more repeats than the allowance and a fifth of its requests.
#include "traffic/budget.hpp"

#include <algorithm>

namespace dunlinwing::traffic {
namespace {
constexpr double kEarned = 0.2;
constexpr double kMargin = 0.75;  // of the allowance: what arrives is less even than what leaves
}  // namespace

void Repeats::sent(const std::string& s) {
  std::lock_guard l(m_);
  if (auto f = earned_.find(s); f != earned_.end()) f->second += kEarned;
}

bool Repeats::grant(const std::string& s, int64_t allowance, int nodes) {
  std::lock_guard l(m_);
  double most = std::max(1.0, kMargin * static_cast<double>(allowance) / std::max(nodes, 1));
  auto& e = earned_.emplace(s, most).first->second;  // what nobody used yet is there in full
  e = std::min(e, most);
  if (e < 1) return false;
  e -= 1;
  return true;
}

std::optional<Span> Pace::reserve(const std::string& s, double share, Span most) {
  std::lock_guard l(m_);
  auto now = static_cast<double>(clock_.now().count());
  auto& n = next_ms_[s];
  double at = std::max(n, now);
  double wait = at - now;
  if (share <= 0 || wait > static_cast<double>(most.count())) return {};
  n = at + 1000.0 / share;
  return Span(static_cast<int64_t>(wait + 0.999));
}

}  // namespace dunlinwing::traffic
