// A worker's load is the greater of what this relay has under way there and what
// the worker last said of itself, which fades, since others' requests end unseen.
// Its pace is learnt from answers that had nothing waiting before them.
#include "traffic/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace dunlinwing::traffic {
namespace {
constexpr int kFailsAside = 5;
constexpr int kUnsentAside = 2;  // connections that could not be made tell more than bad answers
constexpr Duration kAside{500};
constexpr int kMostDoublings = 4;
constexpr double kLearn = 0.15;  // weight of the latest answer
constexpr double kFadeMs = 800;  // in which most of a told load has faded
constexpr double kCold = 2.0;    // how much slower a worker is that has just started
constexpr double kRoom = 0.6;    // of its slots: the own zone is left beyond
constexpr double kFull = 0.35;   // how much slower when all its slots are taken
constexpr double kSilent = 6;    // times the usual time without an answer: something is wrong there
constexpr Duration kSilentLeast{400};
constexpr double kUnknownMs = 50;
constexpr size_t kLook = 3;  // workers looked at for one choice

struct State {
  int running = 0, fails = 0, unsent = 0, rounds = 0;
  double told = 0, pace = 0;  // load as told; milliseconds an answer takes there, 0 while unknown
  int slots = 0;
  uint64_t lot = 0;  // this relay's and this worker's; 0: not drawn yet
  TimePoint told_at{0}, progress{0}, aside{0};
  bool trying = false;
};
}  // namespace

struct LoadBalancer::Impl {
  base::Clock& clock;
  base::Random& random;
  mutable std::mutex m;
  std::map<std::string, State> by;
  std::map<std::string, double> pace;  // by service
  std::string relay;

  uint64_t lot(const Worker& w) {
    auto& s = by[w.instance];
    if (!s.lot) s.lot = std::hash<std::string>()(relay + "\n" + w.instance) | 1;
    return s.lot;
  }

  double usual(const std::string& service) const {
    auto f = pace.find(service);
    return f == pace.end() ? 0 : f->second;
  }
  double load(const State& s, TimePoint now) const {
    double told = s.told * std::exp(-static_cast<double>((now - s.told_at).count()) / kFadeMs);
    return std::max(told, static_cast<double>(s.running)) + 1;
  }
  double fill(const Worker& w, TimePoint now) {
    auto& s = by[w.instance];
    return load(s, now) / std::max(s.slots ? s.slots : w.capacity, 1);
  }
  double one(const Worker& w, TimePoint now) {
    auto& s = by[w.instance];
    double t = s.pace > 0 ? s.pace : usual(w.service) > 0 ? usual(w.service) : kUnknownMs;
    return w.cold_until > now ? t * kCold : t;
  }
  double wait(const Worker& w, TimePoint now) { return one(w, now) * std::max(0.0, fill(w, now) - 1); }
  double expected(const Worker& w, TimePoint now) {
    auto& s = by[w.instance];
    double one = this->one(w, now);
    double f = fill(w, now);
    double t = one * (1 + kFull * std::min(f, 1.0) + std::max(0.0, f - 1));
    if (s.running && now - s.progress > std::max(kSilentLeast, Duration(static_cast<int64_t>(one * kSilent))))
      t *= 16;
    return t;
  }
};

LoadBalancer::LoadBalancer(base::Clock& c, base::Random& r) : p_(new Impl{c, r, {}, {}, {}, {}}) {}
LoadBalancer::~LoadBalancer() = default;

std::optional<Choice> LoadBalancer::choose(const std::vector<Worker>& ws, const std::vector<std::string>& vs,
                                           const std::string& zone, const std::vector<std::string>& tried,
                                           size_t few) {
  std::lock_guard l(p_->m);
  TimePoint now = p_->clock.now();
  std::vector<const Worker*> fit, near, aside;
  for (auto& w : ws) {
    if (std::find(vs.begin(), vs.end(), w.version) == vs.end()) continue;
    if (std::find(tried.begin(), tried.end(), w.instance) != tried.end()) continue;
    auto& s = p_->by[w.instance];
    if (s.aside > now || ((s.fails >= kFailsAside || s.unsent >= kUnsentAside) && s.trying)) {
      aside.push_back(&w);
      continue;
    }
    fit.push_back(&w);
  }
  if (fit.empty()) fit = aside;
  if (fit.empty()) return {};
  if (fit.size() > few) {
    std::nth_element(fit.begin(), fit.begin() + static_cast<std::ptrdiff_t>(few), fit.end(),
                     [&](auto* a, auto* b) { return p_->lot(*a) < p_->lot(*b); });
    fit.resize(few);
  }
  for (auto* w : fit)
    if (w->zone == zone) near.push_back(w);
  // The best of a few drawn by lot: the very best for all would be everybody's choice at once.
  auto pick = [&](std::vector<const Worker*> v) {
    const Worker* best = nullptr;
    double least = 0;
    for (size_t i = 0; i < kLook && i < v.size(); ++i) {
      std::swap(v[i], v[i + p_->random.below(v.size() - i)]);
      double t = p_->expected(*v[i], now);
      if (!best || t < least) best = v[i], least = t;
    }
    return best;
  };
  const Worker* w = near.empty() ? nullptr : pick(near);
  if (!w || p_->fill(*w, now) > kRoom) {
    auto* o = pick(fit);
    if (!w || p_->expected(*o, now) < p_->expected(*w, now)) w = o;
  }
  auto& s = p_->by[w->instance];
  if (s.fails >= kFailsAside || s.unsent >= kUnsentAside) s.trying = true;
  return Choice{*w, Duration(static_cast<int64_t>(p_->expected(*w, now))),
                Duration(static_cast<int64_t>(p_->wait(*w, now)))};
}

void LoadBalancer::name(const std::string& relay) { p_->relay = relay; }

void LoadBalancer::began(const Worker& w) {
  std::lock_guard l(p_->m);
  auto& s = p_->by[w.instance];
  if (!s.running++) s.progress = p_->clock.now();
}

void LoadBalancer::ended(const Worker& w, const Ended& e) {
  std::lock_guard l(p_->m);
  auto& s = p_->by[w.instance];
  TimePoint now = p_->clock.now();
  s.running = std::max(0, s.running - 1);
  s.trying = false;
  if (e.good || e.load) s.progress = now;
  if (e.load) {
    // What it says may or may not count the answered request itself.
    s.told = std::max(0, e.load->running + e.load->waiting - 1);
    s.told_at = now;
    if (e.load->slots > 0) s.slots = e.load->slots;
  }
  if (e.good && e.took > Duration(0) && !(e.load && e.load->waiting > 0) && w.cold_until <= now) {
    auto learn = [&](double& x) { x += (x > 0 ? kLearn : 1) * (static_cast<double>(e.took.count()) - x); };
    learn(s.pace);
    learn(p_->pace[w.service]);
  }
  if (e.good) {
    s.fails = s.unsent = s.rounds = 0;
    return;
  }
  bool out = e.unsent ? ++s.unsent >= kUnsentAside : ++s.fails >= kFailsAside;
  if (!out) return;
  s.aside = now + kAside * (1 << std::min(s.rounds, kMostDoublings));
  ++s.rounds;
}

void LoadBalancer::elsewhere(const Worker& w) {
  std::lock_guard l(p_->m);
  auto& s = p_->by[w.instance];
  s.fails = kFailsAside;
  s.rounds = kMostDoublings;
  s.aside = p_->clock.now() + kAside * (1 << kMostDoublings);
}

void LoadBalancer::forget(const std::vector<std::string>& alive) {
  std::lock_guard l(p_->m);
  std::erase_if(p_->by, [&](auto& x) {
    return !x.second.running && std::find(alive.begin(), alive.end(), x.first) == alive.end();
  });
}

Duration LoadBalancer::usual(const std::string& service) const {
  std::lock_guard l(p_->m);
  return Duration(static_cast<int64_t>(p_->usual(service)));
}

}  // namespace dunlinwing::traffic
