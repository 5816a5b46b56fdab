// The event list runs in the idle hook of the fiber scheduler: when no fiber is
// ready, the next event runs. Fibers of a frozen host are not resumed before
// the freeze ends; fibers of a killed process are resumed once, to unwind.
#include "simulation/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>

#include "net/event_loop.hpp"

namespace dunlinwing::simulation {
namespace bf = boost::fibers;

namespace {
constexpr size_t kWindowBytes = 64 << 10;  // in flight at once, per connection
}

World::World(uint64_t seed) : rng_(seed) {}
World::~World() = default;

void World::at(TimePoint t, std::function<void()> f) {
  events_.emplace(std::make_pair(std::max(t, now_), order_++), Event{std::move(f)});
}

void World::step() {
  auto i = events_.begin();
  now_ = i->first.first;
  auto f = std::move(i->second.f);
  events_.erase(i);
  ++steps_;
  f();
  if (check_) check_();
}

void World::run(TimePoint until, std::function<void()> check, std::function<void()> first) {
  check_ = std::move(check);
  auto* me = bf::context::active();
  bool done = false;
  at(until, [&] {
    done = true;
    bf::context::active()->schedule(me);
  });
  net::run_fibers([this] { step(); }, [] {},
                  [&] {
                    if (first) first();
                    while (!done) me->suspend();
                  });
  check_ = nullptr;
}

void World::spawn(const ProcessRunPtr& process, std::function<void()> f) {
  ++process->fibers;
  bf::fiber(bf::launch::post, [process, f = std::move(f)] {
    try {
      if (!process->dead) f();
    } catch (const ProcessKilled&) {
    }
    --process->fibers;
  }).detach();
}

bool World::wait(const ProcessRunPtr& process, Duration s, Wait& w) {
  if (process->dead) throw ProcessKilled{};
  w.process = process;
  if (!w.woken) {
    w.fiber = bf::context::active();
    w.timed_out = false;
    auto turn = w.wait_id = ++next_wait_id_;
    process->waits.insert(&w);
    at(now_ + std::max(s, Duration(0)), [this, process, &w, turn] {
      if (process->waits.count(&w) && w.wait_id == turn) resume(&w);
    });
    while (!w.timed_out) bf::context::active()->suspend();
    process->waits.erase(&w);
    w.fiber = nullptr;
  }
  if (process->dead) throw ProcessKilled{};
  return std::exchange(w.woken, false);
}

void World::resume(Wait* w) {
  if (w->timed_out || !w->fiber) return;
  if (auto f = frozen_.find(w->process->host); f != frozen_.end() && f->second > now_ && !w->process->dead) {
    at(f->second, [this, l = w->process, w, turn = w->wait_id] {
      if (l->waits.count(w) && w->wait_id == turn) resume(w);
    });
    return;
  }
  w->timed_out = true;
  bf::context::active()->schedule(static_cast<bf::context*>(w->fiber));
}

void World::notify(Wait& w) {
  w.woken = true;
  if (w.fiber) resume(&w);
}

void World::kill(const ProcessRunPtr& process) {
  process->dead = true;
  frozen_.erase(process->host);
  // In the order in which they began to wait: addresses differ between runs of one seed.
  std::vector<Wait*> waits(process->waits.begin(), process->waits.end());
  std::sort(waits.begin(), waits.end(),
            [](const Wait* left, const Wait* right) { return left->wait_id < right->wait_id; });
  for (auto* w : waits) resume(w);
}

void World::freeze(const std::string& h, TimePoint until) {
  frozen_[h] = until;
  ++fault_counts["freeze"];
  journal.push_back(
      fmt::format(R"({{"t":"frozen","machine":"{}","until":{},"at":{}}})", h, until.count(), now_.count()));
}

void World::partition(const std::string& from, const std::string& to) {
  partitions_.insert({from, to});
  if (std::exchange(partition_reported_, now_) != now_)
    journal.push_back(fmt::format(R"({{"t":"cut","at":{}}})", now_.count()));
}

void World::transmit(const std::string& from, const std::string& to, size_t bytes, Duration delay,
                     std::function<void()> arrived) {
  auto& outbound = links[from].outbound;
  auto& inbound = links[to].inbound;
  if (!outbound.has_rate() && !inbound.has_rate()) return after(delay, std::move(arrived));
  const size_t window = std::min(bytes, kWindowBytes);
  after(outbound.transfer(now_, window) + delay, [=, this, &inbound, arrived = std::move(arrived)] {
    after(inbound.transfer(now_, window), [=, this] {
      if (bytes <= window) return arrived();
      transmit(from, to, bytes - window, delay, arrived);
    });
  });
}

bool World::frozen(const std::string& h) const {
  auto f = frozen_.find(h);
  return f != frozen_.end() && f->second > now_;
}

}  // namespace dunlinwing::simulation
