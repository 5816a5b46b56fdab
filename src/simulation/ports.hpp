// The simulated ports of one process, and the disk that outlives it.
#pragma once
#include "base/ports.hpp"
#include "simulation/world.hpp"
#include "storage/snapshot_store.hpp"

namespace dunlinwing::simulation {

class Clock final : public base::Clock {
 public:
  Clock(World& w, LifePtr l, int64_t* wall) : w_(w), l_(std::move(l)), wall_(wall) {}
  TimePoint now() override { return w_.now(); }
  int64_t wall_ms() override { return w_.now().count() + *wall_; }
  void sleep(Duration s) override;

 private:
  World& w_;
  LifePtr l_;
  int64_t* wall_;
};

class Random final : public base::Random {
 public:
  explicit Random(World& w) : w_(w) {}
  uint64_t draw() override { return w_.draw(); }

 private:
  World& w_;
};

class Tasks final : public base::Tasks {
 public:
  Tasks(World& w, LifePtr l) : w_(w), l_(std::move(l)) {}
  void spawn(std::function<void()> f) override { w_.spawn(l_, std::move(f)); }
  std::shared_ptr<base::Condition> condition() override;

 private:
  World& w_;
  LifePtr l_;
};

// What stands at an address: its process, when one lives, and how it answers.
struct Peer {
  std::string host;
  LifePtr life;
  std::function<pb::Reply(const pb::Ask&)> answer;
};
using Directory = std::map<std::string, Peer>;

class Net final : public base::Net {
 public:
  Net(World& w, LifePtr l, Directory& d) : w_(w), l_(std::move(l)), d_(d) {}
  std::variant<pb::Reply, base::NetError> ask(const std::string& addr, const pb::Ask& a,
                                              Duration limit) override;

 private:
  World& w_;
  LifePtr l_;
  Directory& d_;
};

// Bytes that outlive the process. A write under way when it dies is lost,
// done, or torn.
struct Platter {
  std::map<std::string, std::string> files;
  Duration least{1}, most{4};
  bool failing = false;        // refuses every write and sync
  bool full = false;           // takes no more bytes: a write leaves a part of them, or none
  TimePoint stalled_until{0};  // answers nothing before then
};

class MemFiles final : public storage::Files {
 public:
  explicit MemFiles(Platter& p) : p_(p) {}
  std::variant<std::string, storage::ReadError> read(const std::string& n) override;
  bool replace(const std::string& n, const std::string& b) override;
  bool append(const std::string& n, const std::string& b) override;
  bool sync_folder() override { return !p_.failing; }
  std::string place() const override { return "memory"; }
  size_t room = std::string::npos;  // bytes that still reach the platter

 private:
  Platter& p_;
};

class Disk final : public base::Disk {
 public:
  Disk(World& w, LifePtr l, Platter& p);
  base::Loaded load() override { return s_->load(); }
  std::optional<base::DiskError> save(const std::vector<pb::Record>& rs,
                                      const std::function<pb::Image()>& whole) override;
  std::optional<base::DiskError> rewrite(const pb::Image& whole) override;

 private:
  // Lets the disk's time pass, then runs the write; a process that dies meanwhile leaves it
  // done, torn or not begun.
  std::optional<base::DiskError> timed(const std::function<std::optional<base::DiskError>()>& write);
  World& w_;
  LifePtr l_;
  Platter& p_;
  MemFiles* f_;
  std::unique_ptr<storage::SnapshotStore> s_;
};

}  // namespace dunlinwing::simulation
