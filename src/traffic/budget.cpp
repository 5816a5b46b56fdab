// A repeat counts from when it is granted, a request from when it is sent.
#include "traffic/budget.hpp"

#include <algorithm>

namespace dunlinwing::traffic {
namespace {
constexpr Span kWindow{10000};
constexpr size_t kShare = 5;  // repeats may be one in this many requests
}  // namespace

void Repeats::trim(Window& w) {
  Tick from = clock_.now() - kWindow;
  while (!w.sent.empty() && w.sent.front() <= from) w.sent.pop_front();
  while (!w.again.empty() && w.again.front() <= from) w.again.pop_front();
}

void Repeats::sent(const std::string& s) {
  std::lock_guard l(m_);
  auto& w = by_[s];
  trim(w);
  w.sent.push_back(clock_.now());
}

bool Repeats::grant(const std::string& s, int64_t allowance, int nodes) {
  std::lock_guard l(m_);
  auto& w = by_[s];
  trim(w);
  auto extra = static_cast<size_t>(allowance / std::max(nodes, 1));
  if (w.again.size() + 1 > w.sent.size() / kShare + extra) return false;
  w.again.push_back(clock_.now());
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
