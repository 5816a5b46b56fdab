// First come, first served. A request that would wait longer than it may
// behind those that wait is turned away at once, and one that has waited so long
// because the list stopped moving is turned away then.
#include "traffic/waitlist.hpp"

#include <algorithm>

namespace dunlinwing::traffic {

Entry Waitlists::enter(const std::string& s, int inflight, int longest, TimePoint start_by) {
  auto w = std::make_shared<Waiter>();
  Duration left;
  {
    std::lock_guard l(m_);
    auto& t = by_[s];
    t.limit = inflight;
    if (t.running < t.limit && t.waits.empty()) {
      ++t.running;
      return Entry::in;
    }
    left = start_by - ps_.clock.now();
    if (static_cast<int>(t.waits.size()) >= longest) return Entry::full;
    double wait = t.took_ms * static_cast<double>(t.waits.size() + 1) / std::max(t.limit, 1);
    if (left <= Duration(0) || wait > static_cast<double>(left.count())) return Entry::too_late;
    w->condition = ps_.tasks.condition();
    t.waits.push_back(w);
  }
  for (;;) {
    w->condition->wait(left);
    std::lock_guard l(m_);
    if (w->in) return Entry::in;
    left = start_by - ps_.clock.now();
    if (left > Duration(0)) continue;
    auto& q = by_[s].waits;
    q.erase(std::remove(q.begin(), q.end(), w), q.end());
    return Entry::too_late;
  }
}

void Waitlists::leave(const std::string& s, Duration took) {
  std::lock_guard l(m_);
  auto& t = by_[s];
  --t.running;
  t.took_ms += (static_cast<double>(took.count()) - t.took_ms) / 16;
  while (t.running < t.limit && !t.waits.empty()) {
    auto w = t.waits.front();
    t.waits.pop_front();
    w->in = true;
    ++t.running;
    w->condition->notify();
  }
}

Duration Waitlists::drained_in(const std::string& s) {
  std::lock_guard l(m_);
  auto& t = by_[s];
  return Duration(
      static_cast<int64_t>(t.took_ms * static_cast<double>(t.waits.size() + 1) / std::max(t.limit, 1)));
}

std::pair<int, int> Waitlists::load(const std::string& s) {
  std::lock_guard l(m_);
  auto& t = by_[s];
  return {t.running, static_cast<int>(t.waits.size())};
}

int Waitlists::running() {
  std::lock_guard l(m_);
  int n = 0;
  for (auto& [k, t] : by_) n += t.running + static_cast<int>(t.waits.size());
  return n;
}

}  // namespace dunlinwing::traffic
