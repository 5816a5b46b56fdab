// Load is what this relay has under way plus what the worker last said of
// itself, over its capacity.
#include "traffic/place.hpp"

#include <algorithm>
#include <mutex>

namespace dunlinwing::traffic {
namespace {
constexpr int kFailsAside = 5;
constexpr Span kAside{500};
constexpr int kMostDoublings = 4;

struct State {
  int running = 0, fails = 0, rounds = 0, load = 0;
  Tick aside{0};
  bool trying = false;
};
}  // namespace

struct Places::Impl {
  base::Clock& clock;
  base::Chance& chance;
  std::mutex m;
  std::map<std::string, State> by;
};

Places::Places(base::Clock& c, base::Chance& r) : p_(new Impl{c, r, {}, {}}) {}
Places::~Places() = default;

std::optional<Worker> Places::choose(const std::vector<Worker>& ws, const std::vector<std::string>& vs,
                                     const std::string& zone, const std::vector<std::string>& tried) {
  std::lock_guard l(p_->m);
  Tick now = p_->clock.now();
  std::vector<const Worker*> fit, near, aside;
  for (auto& w : ws) {
    if (std::find(vs.begin(), vs.end(), w.version) == vs.end()) continue;
    if (std::find(tried.begin(), tried.end(), w.instance) != tried.end()) continue;
    auto& s = p_->by[w.instance];
    if (s.aside > now || (s.fails >= kFailsAside && s.trying)) {
      aside.push_back(&w);
      continue;
    }
    fit.push_back(&w);
    if (w.zone == zone) near.push_back(&w);
  }
  if (fit.empty()) fit = aside;
  if (fit.empty()) return {};
  auto weight = [&](const Worker* w) {
    auto& s = p_->by[w->instance];
    return static_cast<double>(s.running + s.load + 1) / std::max(w->capacity, 1);
  };
  auto pick = [&](const std::vector<const Worker*>& v) {
    auto* a = v[p_->chance.below(v.size())];
    auto* b = v[p_->chance.below(v.size())];
    return weight(a) <= weight(b) ? a : b;
  };
  const Worker* w = near.empty() ? nullptr : pick(near);
  // The own zone is left once its pick is fuller than its capacity.
  if (!w || weight(w) > 1) {
    auto* o = pick(fit);
    if (!w || weight(o) < weight(w)) w = o;
  }
  auto& s = p_->by[w->instance];
  if (s.fails >= kFailsAside) s.trying = true;
  return *w;
}

void Places::began(const Worker& w) {
  std::lock_guard l(p_->m);
  ++p_->by[w.instance].running;
}

void Places::ended(const Worker& w, bool good, std::optional<int> load) {
  std::lock_guard l(p_->m);
  auto& s = p_->by[w.instance];
  s.running = std::max(0, s.running - 1);
  s.trying = false;
  if (load) s.load = *load;
  if (good) {
    s.fails = s.rounds = 0;
    return;
  }
  if (++s.fails < kFailsAside) return;
  s.aside = p_->clock.now() + kAside * (1 << std::min(s.rounds, kMostDoublings));
  ++s.rounds;
}

void Places::elsewhere(const Worker& w) {
  std::lock_guard l(p_->m);
  auto& s = p_->by[w.instance];
  s.fails = kFailsAside;
  s.rounds = kMostDoublings;
  s.aside = p_->clock.now() + kAside * (1 << kMostDoublings);
}

void Places::forget(const std::vector<std::string>& alive) {
  std::lock_guard l(p_->m);
  std::erase_if(p_->by, [&](auto& x) {
    return !x.second.running && std::find(alive.begin(), alive.end(), x.first) == alive.end();
  });
}

}  // namespace dunlinwing::traffic
