// The disk format under torn and rotten bytes, and the store over restarts.
#include "storage/snapshot_store.hpp"

#include "simulation/ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
pb::LogRecord record(const std::string& name, uint64_t round, const std::string& data) {
  pb::LogRecord r;
  r.mutable_register_state()->set_name(name);
  r.mutable_register_state()->mutable_accepted()->set_round(round);
  r.mutable_register_state()->mutable_value()->set_version(round);
  r.mutable_register_state()->mutable_value()->set_data(data);
  return r;
}

// Writes a run of records, as a holder would, and returns what it then knows.
std::map<std::string, uint64_t> fill(simulation::DiskContents& contents, int n, size_t log_bytes) {
  storage::SnapshotStore s(std::make_unique<simulation::MemoryFiles>(contents), log_bytes);
  auto im = s.load().snapshot;
  std::map<std::string, pb::RegisterState> all;
  for (auto& x : im.registers()) all[x.name()] = x;
  im.set_stage(pb::REPLICA_VOTING);
  pb::LogRecord st;
  st.set_stage(pb::REPLICA_VOTING);
  auto whole = [&] {
    pb::Snapshot o;
    o.set_stage(pb::REPLICA_VOTING);
    for (auto& [k, v] : all) *o.add_registers() = v;
    return o;
  };
  s.save({st}, whole);
  for (int i = 1; i <= n; ++i) {
    auto r = record("r" + std::to_string(i % 7), static_cast<uint64_t>(i),
                    std::string(static_cast<size_t>(i % 50), 'd'));
    all[r.register_state().name()] = r.register_state();
    s.save({r}, whole);
  }
  std::map<std::string, uint64_t> out;
  for (auto& [k, v] : all) out[k] = v.value().version();
  return out;
}

std::map<std::string, uint64_t> versions(const base::LoadedSnapshot& l) {
  std::map<std::string, uint64_t> out;
  for (auto& state : l.snapshot.registers()) out[state.name()] = state.value().version();
  return out;
}

base::LoadedSnapshot load(simulation::DiskContents& contents) {
  return storage::SnapshotStore(std::make_unique<simulation::MemoryFiles>(contents), 2000).load();
}
}  // namespace

std::vector<Case> disk_cases() {
  return {
      property("disk: what was saved is loaded, over any number of slot turns",
               [] {
                 simulation::DiskContents p;
                 auto n = *rc::gen::inRange(0, 200);
                 auto want = fill(p, n, static_cast<size_t>(*rc::gen::inRange(100, 4000)));
                 auto l = load(p);
                 RC_ASSERT(!l.possibly_lost);
                 RC_ASSERT(versions(l) == want);
                 RC_ASSERT(versions(load(p)) == want);
               }),
      property("disk: a torn last write loses that write only",
               [] {
                 simulation::DiskContents p;
                 auto n = *rc::gen::inRange(1, 60);
                 fill(p, n - 1, 1 << 20);
                 auto before = versions(load(p));
                 auto kept = p.files;
                 storage::SnapshotStore s(std::make_unique<simulation::MemoryFiles>(p), 1 << 20);
                 s.load();
                 auto base = p.files;
                 s.save({record("last", 999, "x")}, [] { return pb::Snapshot(); });
                 for (auto& [k, b] : p.files)
                   if (b.size() > base[k].size()) {
                     auto cut = *rc::gen::inRange<size_t>(base[k].size(), b.size());
                     b.resize(cut);
                   }
                 auto l = load(p);
                 RC_ASSERT(!l.possibly_lost);
                 RC_ASSERT(versions(l) == before);
               }),
      property("disk: a rotten byte inside the log is never believed",
               [] {
                 simulation::DiskContents p;
                 auto want = fill(p, *rc::gen::inRange(5, 40), 1 << 20);
                 // The log in use is the longer one; rot anywhere before its last record.
                 auto& b =
                     p.files["log.0"].size() > p.files["log.1"].size() ? p.files["log.0"] : p.files["log.1"];
                 auto parts = storage::unframe(b).payloads;
                 size_t last = 16 + parts.back().size();
                 auto at = *rc::gen::inRange<size_t>(0, b.size() - last);
                 b[at] = static_cast<char>(b[at] ^ (1 << *rc::gen::inRange(0, 8)));
                 auto l = load(p);
                 RC_ASSERT(l.possibly_lost || versions(l) == want);
                 if (l.possibly_lost) RC_ASSERT(l.snapshot.stage() == pb::REPLICA_EMPTY);
               }),
      property("disk: a rotten slot in use is never believed",
               [] {
                 simulation::DiskContents p;
                 fill(p, *rc::gen::inRange(5, 40), 1 << 20);
                 auto k = p.files["log.0"].size() > p.files["log.1"].size() ? "slot.0" : "slot.1";
                 auto& b = p.files[k];
                 auto at = *rc::gen::inRange<size_t>(0, b.size());
                 b[at] = static_cast<char>(b[at] ^ (1 << *rc::gen::inRange(0, 8)));
                 RC_ASSERT(load(p).possibly_lost);
               }),
      {"disk: a failing disk says so, and stays failed until it is written anew",
       [] {
         simulation::DiskContents p;
         storage::SnapshotStore s(std::make_unique<simulation::MemoryFiles>(p), 1000);
         s.load();
         p.failing = true;
         expect(s.save({record("a", 1, "")}, [] { return pb::Snapshot(); }).has_value(),
                "a failed write was hidden");
         p.failing = false;
         expect(s.save({record("a", 1, "")}, [] { return pb::Snapshot(); }).has_value(),
                "a broken disk came back");
         p.failing = true;
         expect(s.rewrite(pb::Snapshot()).has_value(), "a failed rewrite was hidden");
         p.failing = false;
         expect(s.save({record("a", 1, "")}, [] { return pb::Snapshot(); }).has_value(),
                "a failed rewrite brought the disk back");
         pb::Snapshot whole;
         whole.set_stage(pb::REPLICA_VOTING);
         *whole.add_registers() = record("a", 7, "").register_state();
         expect(!s.rewrite(whole), "the disk works again, and could not be written anew");
         expect(!s.save({record("b", 8, "")}, [] { return pb::Snapshot(); }),
                "a disk that was written anew takes no records");
         auto loaded = load(p);
         expect(
             !loaded.possibly_lost && versions(loaded) == std::map<std::string, uint64_t>{{"a", 7}, {"b", 8}},
             "the image written anew was not loaded");
       }},
  };
}

}  // namespace dunlinwing::test
