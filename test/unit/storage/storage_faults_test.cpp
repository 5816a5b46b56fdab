// The store on a disk whose calls fail. A model of the system's cache and of the medium below it
// determines what a process restart or a power cut may find. The loaded state has to contain
// everything acknowledged, or the store has to report a possible loss.
#include <random>

#include "storage/snapshot_store.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

// How a call fails.
enum class Fault {
  none,
  refused,        // nothing is written
  partial,        // some of the bytes reach the cache: the disk is full
  unsynced,       // all bytes reach the cache, and the sync fails
  false_error,    // all bytes reach the medium, but the call returns an error
  false_success,  // the call returns success, but some of the bytes are lost
};
constexpr Fault kReportedFaults[] = {Fault::refused, Fault::partial, Fault::unsynced, Fault::false_error};

struct ProcessEnds {};  // thrown in the call during which the process ends

struct MediumFile {
  std::string cached, synced;
  bool name_synced = false;  // the folder was synced after the file was created
};

struct Medium {
  std::map<std::string, MediumFile> files;
  std::mt19937_64 random{1};
  size_t below(size_t bound) { return bound ? random() % bound : 0; }

  // What a power cut may leave of `now`, written over `old` and never synced.
  std::string unsynced(const std::string& old, const std::string& now) {
    if (now.starts_with(old)) return now.substr(0, old.size() + below(now.size() - old.size() + 1));
    return below(2) ? old : now.substr(0, below(now.size() + 1));
  }
  void lose_cache() {
    for (auto it = files.begin(); it != files.end();) {
      auto& [name, file] = *it;
      if (file.cached != file.synced) file.cached = file.synced = unsynced(file.synced, file.cached);
      bool gone = !file.name_synced && below(2);
      it = gone ? files.erase(it) : std::next(it);
    }
  }
};

// Returns the fault of each call; throws to end the process in it.
using Plan = std::function<Fault()>;

class FaultyFiles final : public storage::Files {
 public:
  FaultyFiles(Medium& medium, Plan plan) : medium_(medium), plan_(std::move(plan)) {}
  std::variant<std::string, storage::ReadError> read(const std::string& name) override {
    auto found = medium_.files.find(name);
    if (found == medium_.files.end()) return storage::ReadError::missing;
    return found->second.cached;
  }
  bool replace(const std::string& name, const std::string& bytes) override { return write(name, "", bytes); }
  bool append(const std::string& name, const std::string& bytes) override {
    if (!medium_.files.count(name)) return false;
    return write(name, medium_.files[name].cached, bytes);
  }
  bool sync_folder() override {
    auto fault = plan_();
    if (fault != Fault::none && fault != Fault::false_error && fault != Fault::false_success) return false;
    for (auto& [name, file] : medium_.files) file.name_synced = true;
    return fault != Fault::false_error;
  }
  std::string location() const override { return "model"; }

 private:
  bool write(const std::string& name, const std::string& before, const std::string& bytes) {
    Fault fault;
    try {
      fault = plan_();
    } catch (const ProcessEnds&) {
      put(name, before, bytes.substr(0, medium_.below(bytes.size() + 1)));
      throw;
    }
    if (fault == Fault::refused) return false;
    bool part = fault == Fault::partial || fault == Fault::false_success;
    auto& file = put(name, before, part ? bytes.substr(0, medium_.below(bytes.size())) : bytes);
    if (fault == Fault::partial || fault == Fault::unsynced) return false;
    file.synced = file.cached;
    return fault != Fault::false_error;
  }
  MediumFile& put(const std::string& name, const std::string& before, const std::string& bytes) {
    auto& file = medium_.files[name];
    file.cached = before + bytes;
    return file;
  }
  Medium& medium_;
  Plan plan_;
};

using Versions = std::map<std::string, uint64_t>;

// The disk handling of a replica: it acknowledges what the store reports as synced, and does not
// vote after a failed save until a rewrite succeeds.
class Replica {
 public:
  Replica(Medium& medium, size_t log_bytes, Plan plan)
      : store_(std::make_unique<FaultyFiles>(medium, std::move(plan)), log_bytes) {}

  // Loads the disk. Returns a description of the loss; empty when nothing was lost.
  std::string start(const Versions& acknowledged) {
    auto loaded = store_.load();
    non_voting_ = loaded.unwritten;
    possibly_lost_ = loaded.possibly_lost;
    if (possibly_lost_ && acknowledged.empty()) return "";  // the first snapshot was never completed
    if (possibly_lost_) return "reported as possibly lost, though no byte that was synced is damaged";
    for (auto& slot : loaded.snapshot.registers()) memory_[slot.name()] = slot;
    for (auto& [name, version] : acknowledged)
      if (memory_[name].value().version() < version)
        return fmt::format("{} has version {} of {}", name, memory_[name].value().version(), version);
    return "";
  }
  bool possibly_lost() const { return possibly_lost_; }
  bool non_voting() const { return non_voting_; }

  void vote(const std::string& name, uint64_t version, Versions& acknowledged) {
    pb::LogRecord record;
    record.mutable_register_state()->set_name(name);
    record.mutable_register_state()->mutable_value()->set_version(version);
    record.mutable_register_state()->mutable_value()->set_data(std::string(version % 40, 'd'));
    memory_[name] = record.register_state();
    non_voting_ = store_.save({record}, [this] { return snapshot(); }).has_value();
    if (!non_voting_) acknowledged[name] = version;
  }
  void recover(Versions& acknowledged) {
    non_voting_ = store_.rewrite(snapshot()).has_value();
    if (non_voting_) return;
    // The contents of the snapshot on the disk are published.
    for (auto& [name, slot] : memory_) acknowledged[name] = slot.value().version();
  }

 private:
  pb::Snapshot snapshot() const {
    pb::Snapshot out;
    out.set_stage(pb::REPLICA_VOTING);
    for (auto& [name, slot] : memory_) *out.add_registers() = slot;
    return out;
  }
  storage::SnapshotStore store_;
  std::map<std::string, pb::RegisterState> memory_;
  bool non_voting_ = false, possibly_lost_ = false;
};

constexpr size_t kSmallLog = 300;
constexpr uint64_t kVotes = 24;
constexpr int kNever = 1 << 20;

// Votes while `count` disk calls from call `first` on fail, and ends the process in call `end`.
// Returns a description of the loss, if any.
std::string one_failure(Fault kind, int first, int count, int end, bool power_cut, uint64_t seed) {
  Medium medium;
  medium.random.seed(seed);
  Versions acknowledged;
  int calls = 0;
  auto plan = [&] {
    int call = calls++;
    if (call == end) throw ProcessEnds{};
    return call >= first && call < first + count ? kind : Fault::none;
  };
  try {
    Replica replica(medium, kSmallLog, plan);
    replica.start({});
    for (uint64_t i = 1; i <= kVotes;) {
      if (replica.non_voting())
        replica.recover(acknowledged);
      else
        replica.vote("r" + std::to_string(i % 5), i, acknowledged), ++i;
    }
  } catch (const ProcessEnds&) {
  }
  if (power_cut) medium.lose_cache();
  return Replica(medium, kSmallLog, [] { return Fault::none; }).start(acknowledged);
}

void every_single_call() {
  constexpr int kCalls = 60;  // more than the votes need
  int runs = 0;
  for (auto kind : kReportedFaults)
    for (int first = 0; first < kCalls; ++first)
      for (int count : {1, 2, 5})
        for (int end : {first + 1, first + 2, first + 3, first + count, first + count + 4, kNever})
          for (bool power_cut : {false, true}) {
            auto seed = static_cast<uint64_t>(++runs);
            auto lost = one_failure(kind, first, count, end, power_cut, seed);
            expect(lost.empty(), fmt::format("fault {} in {} calls from call {}, end in {}, power cut {}: {}",
                                             static_cast<int>(kind), count, first, end, power_cut, lost));
          }
}

// One run of the process, which may end in any disk call.
void run_process(Medium& medium, size_t log_bytes, const Plan& plan, uint64_t& version,
                 Versions& acknowledged) {
  try {
    Replica replica(medium, log_bytes, plan);
    auto lost = replica.start(acknowledged);
    RC_ASSERT(lost == "");
    for (int i = 0; i < 100; ++i) {
      if (replica.non_voting()) {
        replica.recover(acknowledged);
        continue;
      }
      ++version;
      replica.vote("r" + std::to_string(medium.below(5)), version, acknowledged);
    }
  } catch (const ProcessEnds&) {
  }
}

// Several runs of the process on a disk that fails at random; each run may end in any disk call.
void many_runs() {
  Medium medium;
  medium.random.seed(*rc::gen::arbitrary<uint64_t>());
  auto log_bytes = *rc::gen::inRange<size_t>(60, 2000);
  auto percent = *rc::gen::inRange<size_t>(0, 50);
  auto run_count = *rc::gen::inRange(1, 8);
  Versions acknowledged;
  uint64_t version = 0;
  for (int run_index = 0; run_index < run_count; ++run_index) {
    int calls_left = static_cast<int>(medium.below(60));
    auto plan = [&, last = Fault::none]() mutable {
      if (calls_left-- == 0) throw ProcessEnds{};
      bool goes_on = last != Fault::none && medium.below(100) < 60;
      if (!goes_on)
        last = medium.below(100) < percent ? kReportedFaults[medium.below(std::size(kReportedFaults))]
                                           : Fault::none;
      return last;
    };
    run_process(medium, log_bytes, plan, version, acknowledged);
    if (medium.below(2)) medium.lose_cache();
  }
  Replica last(medium, log_bytes, [] { return Fault::none; });
  RC_ASSERT(last.start(acknowledged) == "");
}

// Reading back detects a disk that reports a complete snapshot as written although it is not.
void rewrite_reads_back() {
  for (uint64_t seed = 1; seed < 200; ++seed) {
    Medium medium;
    medium.random.seed(seed);
    auto fault = Fault::none;
    Versions acknowledged;
    Replica replica(medium, kSmallLog, [&] { return fault; });
    replica.start({});
    replica.vote("a", 1, acknowledged);
    fault = Fault::refused;
    replica.vote("a", 2, acknowledged);
    expect(replica.non_voting(), "a refused write was acknowledged");
    fault = Fault::false_success;
    replica.recover(acknowledged);
    expect(replica.non_voting(), "an incomplete snapshot was accepted as written");
    fault = Fault::none;
    replica.recover(acknowledged);
    expect(!replica.non_voting(), "the replica does not vote after a successful rewrite");
    medium.lose_cache();
    Replica next(medium, kSmallLog, [] { return Fault::none; });
    expect(next.start(acknowledged).empty() && !next.possibly_lost(),
           "the snapshot written last was not loaded");
  }
}

// Files of which one cannot be read; it may contain the newest snapshot.
class UnreadFiles final : public storage::Files {
 public:
  UnreadFiles(Medium& medium, std::string unread)
      : files_(medium, [] { return Fault::none; }), unread_(std::move(unread)) {}
  std::variant<std::string, storage::ReadError> read(const std::string& name) override {
    if (name == unread_) return storage::ReadError::failed;
    return files_.read(name);
  }
  bool replace(const std::string& name, const std::string& bytes) override {
    return files_.replace(name, bytes);
  }
  bool append(const std::string& name, const std::string& bytes) override {
    return files_.append(name, bytes);
  }
  bool sync_folder() override { return files_.sync_folder(); }
  std::string location() const override { return files_.location(); }

 private:
  FaultyFiles files_;
  std::string unread_;
};

void unread_snapshots_are_reported() {
  for (uint64_t votes = 1; votes <= kVotes; ++votes)
    for (std::string slot : {"slot.0", "slot.1"}) {
      Medium medium;
      Versions acknowledged;
      Replica replica(medium, kSmallLog, [] { return Fault::none; });
      replica.start({});
      for (uint64_t i = 1; i <= votes; ++i) replica.vote("r" + std::to_string(i % 5), i, acknowledged);
      if (!medium.files.count(slot)) continue;
      storage::SnapshotStore next(std::make_unique<UnreadFiles>(medium, slot), kSmallLog);
      auto loaded = next.load();
      expect(loaded.possibly_lost && loaded.snapshot.registers().empty(),
             "an unreadable snapshot was skipped without a report");
    }
}
}  // namespace

std::vector<Case> disk_fault_cases() {
  return {
      {"storage: any call fails, and what was acknowledged is loaded or reported lost", every_single_call},
      property("storage: many runs on a failing disk lose nothing unreported", many_runs),
      {"storage: rewrite finds out a snapshot that was not written", rewrite_reads_back},
      {"storage: a snapshot that cannot be read is reported lost", unread_snapshots_are_reported}};
}

}  // namespace dunlinwing::test
