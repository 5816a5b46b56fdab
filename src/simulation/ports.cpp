// Messages are delayed, lost, duplicated and reordered; each direction between two
// hosts can be partitioned separately.
#include "simulation/ports.hpp"

#include "net/peer_frame.hpp"

namespace dunlinwing::simulation {

void Clock::sleep(Duration s) {
  Wait w;
  world_.wait(process_, s, w);
}

namespace {
class SimCondition final : public base::Condition {
 public:
  SimCondition(World& world, ProcessRunPtr process) : world_(world), process_(std::move(process)) {}
  bool wait(Duration s) override { return world_.wait(process_, s, wait_); }
  void notify() override { world_.notify(wait_); }

 private:
  World& world_;
  ProcessRunPtr process_;
  Wait wait_;
};
}  // namespace

std::shared_ptr<base::Condition> Tasks::condition() {
  return std::make_shared<SimCondition>(world_, process_);
}

std::variant<pb::PeerResponse, base::PeerError> Net::call(const std::string& address,
                                                          const pb::PeerRequest& request,
                                                          const base::CallRules& rules) {
  struct PendingCall {
    std::optional<pb::PeerResponse> reply;
    bool refused = false;
    Wait wait;
  };
  auto t = std::make_shared<PendingCall>();
  auto back = [this, t, from = process_->host](const std::string& to, std::optional<pb::PeerResponse> r) {
    if (world_.is_partitioned(to, from)) return void(++world_.fault_counts["cut"]);
    if (world_.random(world_.network.loss_permille)) return void(++world_.fault_counts["loss"]);
    Duration d =
        world_.network.min_delay +
        Duration(world_.below(
            static_cast<uint64_t>((world_.network.max_delay - world_.network.min_delay).count()) + 1));
    const size_t bytes = r ? r->ByteSizeLong() : 0;
    world_.transmit(to, from, bytes, d, [this, t, r = std::move(r)] {
      if (t->reply || t->refused) return;
      if (r)
        t->reply = r;
      else
        t->refused = true;
      world_.notify(t->wait);
    });
  };
  auto f = directory_.find(address);
  auto host = f == directory_.end() ? std::string() : f->second.host;
  auto send = [&] {
    ++world_.messages;
    world_.bytes += request.ByteSizeLong();
    if (world_.is_partitioned(process_->host, host)) return void(++world_.fault_counts["cut"]);
    if (world_.random(world_.network.loss_permille)) return void(++world_.fault_counts["loss"]);
    Duration d =
        world_.network.min_delay +
        Duration(world_.below(
            static_cast<uint64_t>((world_.network.max_delay - world_.network.min_delay).count()) + 1));
    // A message to a frozen host waits in its sockets until the freeze ends.
    auto arrive = std::make_shared<std::function<void()>>();
    *arrive = [this, address, request, host, back, arrive] {
      auto p = directory_.find(address);
      if (p == directory_.end() || !p->second.process || p->second.process->dead) return back(host, {});
      if (world_.frozen(host)) return world_.after(Duration(50), *arrive);
      world_.spawn(p->second.process, [this, answer = p->second.answer, request, back, host] {
        auto response = answer(request);
        ++world_.messages;
        world_.bytes += response.ByteSizeLong();
        back(host, std::move(response));
      });
    };
    world_.transmit(process_->host, host, request.ByteSizeLong(), d, *arrive);
  };
  const link::LinkUse use{link_, net::traffic_class_of(request)};
  use.count_sent(request.ByteSizeLong());
  send();
  if (world_.random(world_.network.duplicate_permille)) {
    ++world_.fault_counts["twice"];
    send();
  }
  const base::CancellationSubscription subscription(rules.cancellation, [&] { world_.notify(t->wait); });
  const TimePoint end = world_.now() + rules.timeout;
  while (!t->reply && !t->refused && !base::is_cancelled(rules.cancellation) && world_.now() < end)
    world_.wait(process_, end - world_.now(), t->wait);
  if (t->reply && use.traffic_class == link::TrafficClass::control)
    use.count_received(t->reply->ByteSizeLong());
  if (t->reply) return *t->reply;
  return t->refused ? base::PeerError::unreachable : base::PeerError::timed_out;
}

std::variant<std::string, storage::ReadError> MemoryFiles::read(const std::string& n) {
  auto f = contents_.files.find(n);
  if (f == contents_.files.end()) return storage::ReadError::missing;
  return f->second;
}

bool MemoryFiles::replace(const std::string& n, const std::string& b) {
  if (contents_.failing) return false;
  if (contents_.full) {  // the file was truncated before the first write failed
    contents_.files[n].clear();
    return false;
  }
  auto k = std::min(remaining_bytes, b.size());
  if (k == 0 && !b.empty()) return false;
  contents_.files[n] = b.substr(0, k);
  if (remaining_bytes != std::string::npos) remaining_bytes -= k;
  return k == b.size();
}

bool MemoryFiles::append(const std::string& n, const std::string& b) {
  if (contents_.failing) return false;
  if (contents_.full) {  // the last block had some space left
    contents_.files[n] += b.substr(0, b.size() / 2);
    return false;
  }
  auto k = std::min(remaining_bytes, b.size());
  contents_.files[n] += b.substr(0, k);
  if (remaining_bytes != std::string::npos) remaining_bytes -= k;
  return k == b.size();
}

Disk::Disk(World& world, ProcessRunPtr process, DiskContents& contents)
    : world_(world), process_(std::move(process)), contents_(contents) {
  auto f = std::make_unique<MemoryFiles>(contents);
  f_ = f.get();
  s_ = std::make_unique<storage::SnapshotStore>(std::move(f), 16384);
}

std::optional<base::DiskError> Disk::run_after_latency(
    const std::function<std::optional<base::DiskError>()>& write) {
  Duration d = contents_.min_latency +
               Duration(world_.below(
                   static_cast<uint64_t>((contents_.max_latency - contents_.min_latency).count()) + 1));
  if (d > Duration(100)) ++world_.fault_counts["slow_disk"];
  try {
    Wait w;
    world_.wait(process_, d, w);
    while (contents_.stalled_until > world_.now()) {
      ++world_.fault_counts["stalled_disk"];
      world_.wait(process_, contents_.stalled_until - world_.now(), w);
    }
  } catch (const ProcessKilled&) {
    auto dice = world_.below(3);
    if (dice == 0) f_->remaining_bytes = 0;
    if (dice == 1) f_->remaining_bytes = world_.below(64);
    ++world_.fault_counts[dice == 1 ? "torn_write" : "crash_in_write"];
    write();
    throw;
  }
  if (contents_.full) ++world_.fault_counts["full_disk"];
  if (contents_.failing) ++world_.fault_counts["refusing_disk"];
  return write();
}

std::optional<base::DiskError> Disk::save(const std::vector<pb::LogRecord>& records,
                                          const std::function<pb::Snapshot()>& complete) {
  auto error = run_after_latency([&] { return s_->save(records, complete); });
  if (!error && world_.on_record_synced)
    for (auto& r : records) world_.on_record_synced(process_->host, r);
  return error;
}

std::optional<base::DiskError> Disk::rewrite(const pb::Snapshot& complete) {
  auto error = run_after_latency([&] { return s_->rewrite(complete); });
  if (error) return error;
  ++world_.fault_counts["disk_back"];
  if (!world_.on_record_synced) return {};
  for (auto& slot : complete.registers()) {
    pb::LogRecord r;
    *r.mutable_register_state() = slot;
    world_.on_record_synced(process_->host, r);
  }
  return {};
}

}  // namespace dunlinwing::simulation
