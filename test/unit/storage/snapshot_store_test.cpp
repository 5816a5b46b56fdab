// The disk format with torn and damaged bytes, and the store across restarts.
#include "storage/snapshot_store.hpp"

#include "simulation/ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
pb::LogRecord record(const std::string& name, uint64_t round, const std::string& data) {
  pb::LogRecord result;
  auto& state = *result.mutable_register_state();
  state.set_name(name);
  state.mutable_accepted()->set_round(round);
  state.mutable_value()->set_version(round);
  state.mutable_value()->set_data(data);
  return result;
}

// Writes a series of records, as a replica does, and returns the resulting versions.
std::map<std::string, uint64_t> fill(simulation::DiskContents& contents, int records, size_t max_log_bytes) {
  storage::SnapshotStore store(std::make_unique<simulation::MemoryFiles>(contents), max_log_bytes);
  std::map<std::string, pb::RegisterState> registers;
  auto loaded = store.load().snapshot;
  for (auto& state : loaded.registers()) registers[state.name()] = state;
  pb::LogRecord stage;
  stage.set_stage(pb::REPLICA_VOTING);
  auto make_snapshot = [&] {
    pb::Snapshot snapshot;
    snapshot.set_stage(pb::REPLICA_VOTING);
    for (auto& [name, state] : registers) *snapshot.add_registers() = state;
    return snapshot;
  };
  store.save({stage}, make_snapshot);
  for (int i = 1; i <= records; ++i) {
    auto written = record("r" + std::to_string(i % 7), static_cast<uint64_t>(i),
                          std::string(static_cast<size_t>(i % 50), 'd'));
    registers[written.register_state().name()] = written.register_state();
    store.save({written}, make_snapshot);
  }
  std::map<std::string, uint64_t> versions;
  for (auto& [name, state] : registers) versions[name] = state.value().version();
  return versions;
}

std::map<std::string, uint64_t> versions(const base::LoadedSnapshot& loaded) {
  std::map<std::string, uint64_t> out;
  for (auto& state : loaded.snapshot.registers()) out[state.name()] = state.value().version();
  return out;
}

base::LoadedSnapshot load(simulation::DiskContents& contents) {
  return storage::SnapshotStore(std::make_unique<simulation::MemoryFiles>(contents), 2000).load();
}

void load_returns_what_was_saved() {
  simulation::DiskContents contents;
  auto records = *rc::gen::inRange(0, 200);
  auto written = fill(contents, records, static_cast<size_t>(*rc::gen::inRange(100, 4000)));
  auto loaded = load(contents);
  RC_ASSERT(!loaded.possibly_lost);
  RC_ASSERT(versions(loaded) == written);
  RC_ASSERT(versions(load(contents)) == written);
}

void torn_last_write() {
  simulation::DiskContents contents;
  auto records = *rc::gen::inRange(1, 60);
  fill(contents, records - 1, 1 << 20);
  auto before = versions(load(contents));
  storage::SnapshotStore store(std::make_unique<simulation::MemoryFiles>(contents), 1 << 20);
  store.load();
  auto before_save = contents.files;
  store.save({record("last", 999, "x")}, [] { return pb::Snapshot(); });
  for (auto& [name, bytes] : contents.files)
    if (bytes.size() > before_save[name].size()) {
      auto cut = *rc::gen::inRange<size_t>(before_save[name].size(), bytes.size());
      bytes.resize(cut);
    }
  auto loaded = load(contents);
  RC_ASSERT(!loaded.possibly_lost);
  RC_ASSERT(versions(loaded) == before);
}

void damaged_log() {
  simulation::DiskContents contents;
  auto written = fill(contents, *rc::gen::inRange(5, 40), 1 << 20);
  // The log in use is the longer one. Damages a byte before its last record.
  auto& bytes = contents.files["log.0"].size() > contents.files["log.1"].size() ? contents.files["log.0"]
                                                                                : contents.files["log.1"];
  auto parts = storage::unframe(bytes).payloads;
  size_t last = storage::kFrameHeadBytes + parts.back().size();
  auto at = *rc::gen::inRange<size_t>(0, bytes.size() - last);
  bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
  auto loaded = load(contents);
  RC_ASSERT(loaded.possibly_lost || versions(loaded) == written);
  if (loaded.possibly_lost) RC_ASSERT(loaded.snapshot.stage() == pb::REPLICA_EMPTY);
}

void damaged_snapshot() {
  simulation::DiskContents contents;
  fill(contents, *rc::gen::inRange(5, 40), 1 << 20);
  auto name = contents.files["log.0"].size() > contents.files["log.1"].size() ? "slot.0" : "slot.1";
  auto& bytes = contents.files[name];
  auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
  RC_ASSERT(load(contents).possibly_lost);
}

void failed_save() {
  simulation::DiskContents contents;
  storage::SnapshotStore store(std::make_unique<simulation::MemoryFiles>(contents), 1000);
  store.load();
  contents.failing = true;
  expect(store.save({record("a", 1, "")}, [] { return pb::Snapshot(); }).has_value(),
         "a failed write was not reported");
  contents.failing = false;
  expect(store.save({record("a", 1, "")}, [] { return pb::Snapshot(); }).has_value(),
         "a failed disk accepts records");
  contents.failing = true;
  expect(store.rewrite(pb::Snapshot()).has_value(), "a failed rewrite was not reported");
  contents.failing = false;
  expect(store.save({record("a", 1, "")}, [] { return pb::Snapshot(); }).has_value(),
         "a failed disk accepts records after a failed rewrite");
  pb::Snapshot snapshot;
  snapshot.set_stage(pb::REPLICA_VOTING);
  *snapshot.add_registers() = record("a", 7, "").register_state();
  expect(!store.rewrite(snapshot), "a working disk could not be rewritten");
  expect(!store.save({record("b", 8, "")}, [] { return pb::Snapshot(); }),
         "a rewritten disk accepts no records");
  auto loaded = load(contents);
  expect(!loaded.possibly_lost && versions(loaded) == std::map<std::string, uint64_t>{{"a", 7}, {"b", 8}},
         "the rewritten snapshot was not loaded");
}

}  // namespace

std::vector<Case> disk_cases() {
  return {
      property("storage: what was saved is loaded, over any number of snapshots",
               load_returns_what_was_saved),
      property("storage: a torn last write loses that write only", torn_last_write),
      property("storage: a damaged byte inside the log is never trusted", damaged_log),
      property("storage: a damaged snapshot in use is never trusted", damaged_snapshot),
      {"storage: a failed save is reported, and save fails until rewrite succeeds", failed_save},
  };
}

}  // namespace dunlinwing::test
