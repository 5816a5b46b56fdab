// A worker's load is the greater of what this relay has under way there and what
// the worker last said of itself, which fades, since others' requests end unseen.
// Its pace is learnt from answers that had nothing waiting before them.
#include "proxy/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace dunlinwing::proxy {
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
  mutable std::mutex mutex;
  std::map<std::string, State> by;
  std::map<std::string, double> pace;  // by service
  std::string relay;

  uint64_t lot(const membership::BackendInstance& instance) {
    auto& s = by[instance.instance];
    if (!s.lot) s.lot = std::hash<std::string>()(relay + "\n" + instance.instance) | 1;
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
  double fill(const membership::BackendInstance& instance, TimePoint now) {
    auto& s = by[instance.instance];
    return load(s, now) / std::max(s.slots ? s.slots : instance.capacity, 1);
  }
  double one(const membership::BackendInstance& instance, TimePoint now) {
    auto& s = by[instance.instance];
    double t = s.pace > 0 ? s.pace : usual(instance.service) > 0 ? usual(instance.service) : kUnknownMs;
    return instance.cold_until > now ? t * kCold : t;
  }
  double wait(const membership::BackendInstance& instance, TimePoint now) {
    return one(instance, now) * std::max(0.0, fill(instance, now) - 1);
  }
  double expected(const membership::BackendInstance& instance, TimePoint now) {
    auto& s = by[instance.instance];
    double one = this->one(instance, now);
    double f = fill(instance, now);
    double t = one * (1 + kFull * std::min(f, 1.0) + std::max(0.0, f - 1));
    if (s.running && now - s.progress > std::max(kSilentLeast, Duration(static_cast<int64_t>(one * kSilent))))
      t *= 16;
    return t;
  }
};

LoadBalancer::LoadBalancer(base::Clock& clock, base::Random& r) : impl_(new Impl{clock, r, {}, {}, {}, {}}) {}
LoadBalancer::~LoadBalancer() = default;

std::optional<BackendSelection> LoadBalancer::choose(
    const std::vector<membership::BackendInstance>& instances, const std::vector<std::string>& vs,
    const std::string& zone, const std::vector<std::string>& tried, size_t few) {
  std::lock_guard lock(impl_->mutex);
  TimePoint now = impl_->clock.now();
  std::vector<const membership::BackendInstance*> fit, near, aside;
  for (auto& instance : instances) {
    if (std::find(vs.begin(), vs.end(), instance.version) == vs.end()) continue;
    if (std::find(tried.begin(), tried.end(), instance.instance) != tried.end()) continue;
    auto& s = impl_->by[instance.instance];
    if (s.aside > now || ((s.fails >= kFailsAside || s.unsent >= kUnsentAside) && s.trying)) {
      aside.push_back(&instance);
      continue;
    }
    fit.push_back(&instance);
  }
  if (fit.empty()) fit = aside;
  if (fit.empty()) return {};
  if (fit.size() > few) {
    std::nth_element(fit.begin(), fit.begin() + static_cast<std::ptrdiff_t>(few), fit.end(),
                     [&](auto* a, auto* b) { return impl_->lot(*a) < impl_->lot(*b); });
    fit.resize(few);
  }
  for (auto* w : fit)
    if (w->zone == zone) near.push_back(w);
  // The best of a few drawn by lot: the very best for all would be everybody's choice at once.
  auto pick = [&](std::vector<const membership::BackendInstance*> v) {
    const membership::BackendInstance* best = nullptr;
    double least = 0;
    for (size_t i = 0; i < kLook && i < v.size(); ++i) {
      std::swap(v[i], v[i + impl_->random.below(v.size() - i)]);
      double t = impl_->expected(*v[i], now);
      if (!best || t < least) best = v[i], least = t;
    }
    return best;
  };
  const membership::BackendInstance* w = near.empty() ? nullptr : pick(near);
  if (!w || impl_->fill(*w, now) > kRoom) {
    auto* o = pick(fit);
    if (!w || impl_->expected(*o, now) < impl_->expected(*w, now)) w = o;
  }
  auto& s = impl_->by[w->instance];
  if (s.fails >= kFailsAside || s.unsent >= kUnsentAside) s.trying = true;
  return BackendSelection{*w, Duration(static_cast<int64_t>(impl_->expected(*w, now))),
                          Duration(static_cast<int64_t>(impl_->wait(*w, now)))};
}

void LoadBalancer::set_node_name(const std::string& relay) { impl_->relay = relay; }

void LoadBalancer::attempt_started(const membership::BackendInstance& instance) {
  std::lock_guard lock(impl_->mutex);
  auto& s = impl_->by[instance.instance];
  if (!s.running++) s.progress = impl_->clock.now();
}

void LoadBalancer::attempt_finished(const membership::BackendInstance& instance, const AttemptReport& e) {
  std::lock_guard lock(impl_->mutex);
  auto& s = impl_->by[instance.instance];
  TimePoint now = impl_->clock.now();
  s.running = std::max(0, s.running - 1);
  s.trying = false;
  if (e.good || e.load) s.progress = now;
  if (e.load) {
    // What it says may or may not count the answered request itself.
    s.told = std::max(0, e.load->running + e.load->waiting - 1);
    s.told_at = now;
    if (e.load->slots > 0) s.slots = e.load->slots;
  }
  if (e.good && e.latency > Duration(0) && !(e.load && e.load->waiting > 0) && instance.cold_until <= now) {
    auto learn = [&](double& x) { x += (x > 0 ? kLearn : 1) * (static_cast<double>(e.latency.count()) - x); };
    learn(s.pace);
    learn(impl_->pace[instance.service]);
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

void LoadBalancer::mark_wrong_instance(const membership::BackendInstance& instance) {
  std::lock_guard lock(impl_->mutex);
  auto& s = impl_->by[instance.instance];
  s.fails = kFailsAside;
  s.rounds = kMostDoublings;
  s.aside = impl_->clock.now() + kAside * (1 << kMostDoublings);
}

void LoadBalancer::retain(const std::vector<std::string>& alive) {
  std::lock_guard lock(impl_->mutex);
  std::erase_if(impl_->by, [&](auto& x) {
    return !x.second.running && std::find(alive.begin(), alive.end(), x.first) == alive.end();
  });
}

Duration LoadBalancer::typical_latency(const std::string& service) const {
  std::lock_guard lock(impl_->mutex);
  return Duration(static_cast<int64_t>(impl_->usual(service)));
}

}  // namespace dunlinwing::proxy
