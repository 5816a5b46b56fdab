// An idle connection has a read pending, so its end is noticed at once and the
// descriptor given back. Those that only grew old go when any other is sought:
// no timer watches over them.
#include "wire/kept.hpp"

#include <boost/asio/post.hpp>

namespace dunlinwing::wire {
namespace asio = boost::asio;

namespace {
// Of the time after which the worker closes an idle connection, the part in
// which we use it: for what must not be sent twice, and for the rest.
constexpr double kSurePart = 1.0 / 3, kPart = 0.7;
constexpr Duration kSureUnstated(1000), kUnstated(4000);
constexpr size_t kMostIdleEach = 64;
constexpr Duration kPruneEvery(1000);

std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }

// Closes it on its own thread, which may be waiting on it.
void end(const std::shared_ptr<Line>& l, asio::io_context* io) {
  if (io == &Pool::here()) return l->close();
  asio::post(*io, [l] { l->close(); });
}
}  // namespace

// The lock is held for all that is private here, and never while parked.
std::shared_ptr<Line> Kept::take(Host& h, bool safe) {
  auto t = now();
  auto* here = &Pool::here();
  for (size_t i = h.idle.size(); i-- > 0;) {
    auto& o = h.idle[i];
    if (t >= o.until) {
      drop(h, i);
      continue;
    }
    if (o.io != here) continue;
    if (!o.line->quiet() || (!safe && t < o.sure && !o.line->still())) {
      drop(h, i);
      continue;
    }
    if (!safe && t >= o.sure) continue;
    auto l = std::move(o.line);
    l->when_woken(nullptr);
    h.idle.erase(h.idle.begin() + i);
    --idle_;
    return l;
  }
  return nullptr;
}

void Kept::drop(Host& h, size_t i) {
  end(h.idle[i].line, h.idle[i].io);
  h.idle.erase(h.idle.begin() + i);
  --idle_;
  left(h);
}

void Kept::left(Host& h) {
  --h.held;
  if (h.waiting.empty()) return;
  h.waiting.front()->notify();
  h.waiting.pop_front();
}

void Kept::prune(At t) {
  if (t - pruned_ < kPruneEvery) return;
  pruned_ = t;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    auto& h = it->second;
    for (size_t i = h.idle.size(); i-- > 0;)
      if (t >= h.idle[i].until) drop(h, i);
    it = h.held == 0 && h.waiting.empty() ? hosts_.erase(it) : std::next(it);
  }
}

std::unique_ptr<Kept::Loan> Kept::lend(const std::string& addr, bool safe, int most, At end) {
  std::shared_ptr<Line> line;
  bool used = false;
  for (std::shared_ptr<base::Condition> condition;;) {
    std::unique_lock l(m_);
    auto t = now();
    prune(t);
    auto& h = hosts_[addr];
    if (condition) std::erase(h.waiting, condition);
    line = take(h, safe);
    if (!line && most > 0 && h.held >= most && !h.idle.empty())
      drop(h, 0);  // unfit for this one, or another thread's
    used = line != nullptr;
    if (used || most <= 0 || h.held < most) {
      h.held += !used;
      break;
    }
    if (t >= end) return nullptr;
    if (!condition) condition = make_spot();
    h.waiting.push_back(condition);
    l.unlock();
    condition->wait(std::chrono::ceil<Duration>(end - t));
  }
  auto loan = std::make_unique<Loan>(shared_from_this(), addr);
  loan->used = used;
  loan->line = used ? std::move(line) : Line::to(addr, end).first;
  if (!loan->line) return nullptr;
  return loan;
}

Kept::Loan::~Loan() {
  if (line) line->close();
  if (k_) k_->gone(addr_);
}

void Kept::Loan::keep(std::optional<Duration> stated, bool only_safe) {
  std::exchange(k_, nullptr)->back(addr_, std::move(line), stated, only_safe);
}

void Kept::Loan::abandon() {
  line->abort();
  line.reset();
}

void Kept::gone(const std::string& addr) {
  std::lock_guard g(m_);
  left(hosts_[addr]);
}

void Kept::back(const std::string& addr, std::shared_ptr<Line> l, std::optional<Duration> stated,
                bool only_safe) {
  auto t = now();
  l->arm(kAnswerRoom);
  l->when_woken([k = weak_from_this(), addr, raw = l.get()] {
    if (auto me = k.lock()) me->lost(addr, raw);
  });
  std::lock_guard g(m_);
  auto& h = hosts_[addr];
  auto part = [&](double p) { return std::chrono::duration_cast<Duration>(*stated * p); };
  auto sure = only_safe ? Duration(0) : stated ? part(kSurePart) : kSureUnstated;
  h.idle.push_back({std::move(l), &Pool::here(), t, t + sure, t + (stated ? part(kPart) : kUnstated)});
  ++idle_;
  if (h.idle.size() > kMostIdleEach) drop(h, 0);
  if (idle_ > most_) {
    Host* old = nullptr;
    for (auto& [a, x] : hosts_)
      if (!x.idle.empty() && (!old || x.idle[0].since < old->idle[0].since)) old = &x;
    drop(*old, 0);
  }
  if (!h.waiting.empty()) {
    h.waiting.front()->notify();
    h.waiting.pop_front();
  }
}

// Its end came, or bytes nobody asked for.
void Kept::lost(const std::string& addr, Line* l) {
  std::lock_guard g(m_);
  auto f = hosts_.find(addr);
  if (f == hosts_.end()) return;
  auto& v = f->second.idle;
  for (size_t i = 0; i < v.size(); ++i)
    if (v[i].line.get() == l) return drop(f->second, i);
}

void Kept::clear() {
  std::lock_guard g(m_);
  for (auto& [a, h] : hosts_)
    while (!h.idle.empty()) drop(h, h.idle.size() - 1);
}

int Kept::idle() const {
  std::lock_guard g(m_);
  return static_cast<int>(idle_);
}

int Kept::held(const std::string& addr) const {
  std::lock_guard g(m_);
  auto f = hosts_.find(addr);
  return f == hosts_.end() ? 0 : f->second.held;
}

}  // namespace dunlinwing::wire
