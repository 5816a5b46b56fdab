// The simulated ports of one process, and the disk that outlives it.
#pragma once
#include "base/ports.hpp"
#include "link/link.hpp"
#include "simulation/world.hpp"
#include "storage/snapshot_store.hpp"

namespace dunlinwing::simulation {

class Clock final : public base::Clock {
 public:
  Clock(World& world, ProcessRunPtr process, int64_t* wall)
      : world_(world), process_(std::move(process)), wall_(wall) {}
  TimePoint now() override { return world_.now(); }
  int64_t wall_ms() override { return world_.now().count() + *wall_; }
  void sleep(Duration s) override;

 private:
  World& world_;
  ProcessRunPtr process_;
  int64_t* wall_;
};

class Random final : public base::Random {
 public:
  explicit Random(World& world) : world_(world) {}
  uint64_t draw() override { return world_.draw(); }

 private:
  World& world_;
};

class Tasks final : public base::Tasks {
 public:
  Tasks(World& world, ProcessRunPtr process) : world_(world), process_(std::move(process)) {}
  void spawn(std::function<void()> f) override { world_.spawn(process_, std::move(f)); }
  std::shared_ptr<base::Condition> condition() override;

 private:
  World& world_;
  ProcessRunPtr process_;
};

// The peer at an address: its process, if one runs, and its request handler.
struct Peer {
  std::string host;
  ProcessRunPtr process;
  std::function<pb::PeerResponse(const pb::PeerRequest&)> answer;
};
using Directory = std::map<std::string, Peer>;

class Net final : public base::PeerTransport {
 public:
  Net(World& world, ProcessRunPtr process, Directory& d, link::Link* link = nullptr)
      : world_(world), process_(std::move(process)), directory_(d), link_(link) {}
  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& address,
                                                       const pb::PeerRequest& request,
                                                       const base::CallRules& rules) override;

 private:
  World& world_;
  ProcessRunPtr process_;
  Directory& directory_;
  link::Link* link_;  // null: its traffic is not counted
};

// Disk state that outlives the process. A write in progress when the process dies is lost,
// complete, or torn.
struct DiskContents {
  std::map<std::string, std::string> files;
  Duration min_latency{1}, max_latency{4};
  bool failing = false;        // every write and sync fails
  bool full = false;           // no space left: a write stores part of its bytes, or none
  TimePoint stalled_until{0};  // no write completes before then
};

class MemoryFiles final : public storage::Files {
 public:
  explicit MemoryFiles(DiskContents& contents) : contents_(contents) {}
  std::variant<std::string, storage::ReadError> read(const std::string& n) override;
  bool replace(const std::string& n, const std::string& b) override;
  bool append(const std::string& n, const std::string& b) override;
  bool sync_folder() override { return !contents_.failing; }
  std::string location() const override { return "memory"; }
  size_t remaining_bytes = std::string::npos;  // that can still be written; npos: unlimited

 private:
  DiskContents& contents_;
};

class Disk final : public base::Disk {
 public:
  Disk(World& world, ProcessRunPtr process, DiskContents& contents);
  base::LoadedSnapshot load() override { return s_->load(); }
  std::optional<base::DiskError> save(const std::vector<pb::LogRecord>& records,
                                      const std::function<pb::Snapshot()>& complete) override;
  std::optional<base::DiskError> rewrite(const pb::Snapshot& complete) override;

 private:
  // Waits for the disk's latency, then runs the write; if the process dies meanwhile, the write is
  // complete, torn or not started.
  std::optional<base::DiskError> run_after_latency(
      const std::function<std::optional<base::DiskError>()>& write);
  World& world_;
  ProcessRunPtr process_;
  DiskContents& contents_;
  MemoryFiles* f_;
  std::unique_ptr<storage::SnapshotStore> s_;
};

}  // namespace dunlinwing::simulation
