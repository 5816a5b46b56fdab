// Messages take their time, get lost, come twice and overtake each other; both
// directions of a link can be cut apart from each other.
#include "simulation/ports.hpp"

namespace dunlinwing::simulation {

void Clock::sleep(Duration s) {
  Wait w;
  w_.wait(l_, s, w);
}

namespace {
class SimSpot final : public base::Condition {
 public:
  SimSpot(World& w, LifePtr l) : w_(w), l_(std::move(l)) {}
  bool wait(Duration s) override { return w_.wait(l_, s, wait_); }
  void notify() override { w_.notify(wait_); }

 private:
  World& w_;
  LifePtr l_;
  Wait wait_;
};
}  // namespace

std::shared_ptr<base::Condition> Tasks::condition() { return std::make_shared<SimSpot>(w_, l_); }

std::variant<pb::Reply, base::NetError> Net::ask(const std::string& addr, const pb::Ask& a, Duration limit) {
  struct Talk {
    std::optional<pb::Reply> reply;
    bool refused = false;
    Wait wait;
  };
  auto t = std::make_shared<Talk>();
  auto back = [this, t, from = l_->host](const std::string& to, std::optional<pb::Reply> r) {
    if (w_.cut_off(to, from)) return void(++w_.met["cut"]);
    if (w_.random(w_.weather.loss_permille)) return void(++w_.met["loss"]);
    Duration d = w_.weather.least +
                 Duration(w_.below(static_cast<uint64_t>((w_.weather.most - w_.weather.least).count()) + 1));
    w_.after(d, [this, t, r = std::move(r)] {
      if (t->reply || t->refused) return;
      if (r)
        t->reply = r;
      else
        t->refused = true;
      w_.notify(t->wait);
    });
  };
  auto f = d_.find(addr);
  auto host = f == d_.end() ? std::string() : f->second.host;
  auto send = [&] {
    ++w_.messages;
    w_.bytes += a.ByteSizeLong();
    if (w_.cut_off(l_->host, host)) return void(++w_.met["cut"]);
    if (w_.random(w_.weather.loss_permille)) return void(++w_.met["loss"]);
    Duration d = w_.weather.least +
                 Duration(w_.below(static_cast<uint64_t>((w_.weather.most - w_.weather.least).count()) + 1));
    // What a frozen host is sent waits in its sockets until the thaw.
    auto arrive = std::make_shared<std::function<void()>>();
    *arrive = [this, addr, a, host, back, arrive] {
      auto p = d_.find(addr);
      if (p == d_.end() || !p->second.life || p->second.life->dead) return back(host, {});
      if (w_.frozen(host)) return w_.after(Duration(50), *arrive);
      w_.spawn(p->second.life, [this, answer = p->second.answer, a, back, host] {
        auto r = answer(a);
        ++w_.messages;
        w_.bytes += r.ByteSizeLong();
        back(host, std::move(r));
      });
    };
    w_.after(d, *arrive);
  };
  send();
  if (w_.random(w_.weather.twice_permille)) {
    ++w_.met["twice"];
    send();
  }
  TimePoint end = w_.now() + limit;
  while (!t->reply && !t->refused && w_.now() < end) w_.wait(l_, end - w_.now(), t->wait);
  if (t->reply) return *t->reply;
  return t->refused ? base::NetError::unreachable : base::NetError::timed_out;
}

std::variant<std::string, storage::ReadError> MemFiles::read(const std::string& n) {
  auto f = p_.files.find(n);
  if (f == p_.files.end()) return storage::ReadError::missing;
  return f->second;
}

bool MemFiles::replace(const std::string& n, const std::string& b) {
  if (p_.failing) return false;
  if (p_.full) {  // it was cut to nothing before the first byte was refused
    p_.files[n].clear();
    return false;
  }
  auto k = std::min(room, b.size());
  if (k == 0 && !b.empty()) return false;
  p_.files[n] = b.substr(0, k);
  if (room != std::string::npos) room -= k;
  return k == b.size();
}

bool MemFiles::append(const std::string& n, const std::string& b) {
  if (p_.failing) return false;
  if (p_.full) {  // the last block had some room left
    p_.files[n] += b.substr(0, b.size() / 2);
    return false;
  }
  auto k = std::min(room, b.size());
  p_.files[n] += b.substr(0, k);
  if (room != std::string::npos) room -= k;
  return k == b.size();
}

Disk::Disk(World& w, LifePtr l, Platter& p) : w_(w), l_(std::move(l)), p_(p) {
  auto f = std::make_unique<MemFiles>(p);
  f_ = f.get();
  s_ = std::make_unique<storage::SnapshotStore>(std::move(f), 16384);
}

std::optional<base::DiskError> Disk::timed(const std::function<std::optional<base::DiskError>()>& write) {
  Duration d = p_.least + Duration(w_.below(static_cast<uint64_t>((p_.most - p_.least).count()) + 1));
  if (d > Duration(100)) ++w_.met["slow_disk"];
  try {
    Wait w;
    w_.wait(l_, d, w);
    while (p_.stalled_until > w_.now()) {
      ++w_.met["stalled_disk"];
      w_.wait(l_, p_.stalled_until - w_.now(), w);
    }
  } catch (const Dead&) {
    auto dice = w_.below(3);
    if (dice == 0) f_->room = 0;
    if (dice == 1) f_->room = w_.below(64);
    ++w_.met[dice == 1 ? "torn_write" : "crash_in_write"];
    write();
    throw;
  }
  if (p_.full) ++w_.met["full_disk"];
  if (p_.failing) ++w_.met["refusing_disk"];
  return write();
}

std::optional<base::DiskError> Disk::save(const std::vector<pb::Record>& rs,
                                          const std::function<pb::Image()>& whole) {
  auto error = timed([&] { return s_->save(rs, whole); });
  if (!error && w_.synced)
    for (auto& r : rs) w_.synced(l_->host, r);
  return error;
}

std::optional<base::DiskError> Disk::rewrite(const pb::Image& whole) {
  auto error = timed([&] { return s_->rewrite(whole); });
  if (error) return error;
  ++w_.met["disk_back"];
  if (!w_.synced) return {};
  for (auto& slot : whole.slots()) {
    pb::Record r;
    *r.mutable_slot() = slot;
    w_.synced(l_->host, r);
  }
  return {};
}

}  // namespace dunlinwing::simulation
