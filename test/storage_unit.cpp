// The disk format under torn and rotten bytes, and the store over restarts.
#include "simulation/ports.hpp"
#include "storage/snapshot_store.hpp"
#include "unit.hpp"

namespace dunlinwing::test {
namespace {
pb::Record record(const std::string& name, uint64_t round, const std::string& data) {
  pb::Record r;
  r.mutable_slot()->set_name(name);
  r.mutable_slot()->mutable_accepted()->set_round(round);
  r.mutable_slot()->mutable_value()->set_version(round);
  r.mutable_slot()->mutable_value()->set_data(data);
  return r;
}

// Writes a run of records, as a holder would, and returns what it then knows.
std::map<std::string, uint64_t> fill(simulation::Platter& p, int n, size_t log_bytes) {
  storage::SnapshotStore s(std::make_unique<simulation::MemFiles>(p), log_bytes);
  auto im = s.load().image;
  std::map<std::string, pb::RegisterState> all;
  for (auto& x : im.slots()) all[x.name()] = x;
  im.set_stage(pb::FORMED);
  pb::Record st;
  st.set_stage(pb::FORMED);
  auto whole = [&] {
    pb::Image o;
    o.set_stage(pb::FORMED);
    for (auto& [k, v] : all) *o.add_slots() = v;
    return o;
  };
  s.save({st}, whole);
  for (int i = 1; i <= n; ++i) {
    auto r = record("r" + std::to_string(i % 7), static_cast<uint64_t>(i),
                    std::string(static_cast<size_t>(i % 50), 'd'));
    all[r.slot().name()] = r.slot();
    s.save({r}, whole);
  }
  std::map<std::string, uint64_t> out;
  for (auto& [k, v] : all) out[k] = v.value().version();
  return out;
}

std::map<std::string, uint64_t> versions(const base::Loaded& l) {
  std::map<std::string, uint64_t> out;
  for (auto& s : l.image.slots()) out[s.name()] = s.value().version();
  return out;
}

base::Loaded load(simulation::Platter& p) {
  return storage::SnapshotStore(std::make_unique<simulation::MemFiles>(p), 2000).load();
}
}  // namespace

std::vector<Case> disk_cases() {
  return {
      property("disk: what was saved is loaded, over any number of slot turns",
               [] {
                 simulation::Platter p;
                 auto n = *rc::gen::inRange(0, 200);
                 auto want = fill(p, n, static_cast<size_t>(*rc::gen::inRange(100, 4000)));
                 auto l = load(p);
                 RC_ASSERT(!l.doubt);
                 RC_ASSERT(versions(l) == want);
                 RC_ASSERT(versions(load(p)) == want);
               }),
      property("disk: a torn last write loses that write only",
               [] {
                 simulation::Platter p;
                 auto n = *rc::gen::inRange(1, 60);
                 fill(p, n - 1, 1 << 20);
                 auto before = versions(load(p));
                 auto kept = p.files;
                 storage::SnapshotStore s(std::make_unique<simulation::MemFiles>(p), 1 << 20);
                 s.load();
                 auto base = p.files;
                 s.save({record("last", 999, "x")}, [] { return pb::Image(); });
                 for (auto& [k, b] : p.files)
                   if (b.size() > base[k].size()) {
                     auto cut = *rc::gen::inRange<size_t>(base[k].size(), b.size());
                     b.resize(cut);
                   }
                 auto l = load(p);
                 RC_ASSERT(!l.doubt);
                 RC_ASSERT(versions(l) == before);
               }),
      property("disk: a rotten byte inside the log is never believed",
               [] {
                 simulation::Platter p;
                 auto want = fill(p, *rc::gen::inRange(5, 40), 1 << 20);
                 // The log in use is the longer one; rot anywhere before its last record.
                 auto& b =
                     p.files["log.0"].size() > p.files["log.1"].size() ? p.files["log.0"] : p.files["log.1"];
                 auto parts = storage::unframe(b).first;
                 size_t last = 16 + parts.back().size();
                 auto at = *rc::gen::inRange<size_t>(0, b.size() - last);
                 b[at] = static_cast<char>(b[at] ^ (1 << *rc::gen::inRange(0, 8)));
                 auto l = load(p);
                 RC_ASSERT(l.doubt || versions(l) == want);
                 if (l.doubt) RC_ASSERT(l.image.stage() == pb::BLANK);
               }),
      property("disk: a rotten slot in use is never believed",
               [] {
                 simulation::Platter p;
                 fill(p, *rc::gen::inRange(5, 40), 1 << 20);
                 auto k = p.files["log.0"].size() > p.files["log.1"].size() ? "slot.0" : "slot.1";
                 auto& b = p.files[k];
                 auto at = *rc::gen::inRange<size_t>(0, b.size());
                 b[at] = static_cast<char>(b[at] ^ (1 << *rc::gen::inRange(0, 8)));
                 RC_ASSERT(load(p).doubt);
               }),
      {"disk: a failing disk says so, and stays failed until it is written anew",
       [] {
         simulation::Platter p;
         storage::SnapshotStore s(std::make_unique<simulation::MemFiles>(p), 1000);
         s.load();
         p.failing = true;
         expect(s.save({record("a", 1, "")}, [] { return pb::Image(); }).has_value(),
                "a failed write was hidden");
         p.failing = false;
         expect(s.save({record("a", 1, "")}, [] { return pb::Image(); }).has_value(),
                "a broken disk came back");
         p.failing = true;
         expect(s.rewrite(pb::Image()).has_value(), "a failed rewrite was hidden");
         p.failing = false;
         expect(s.save({record("a", 1, "")}, [] { return pb::Image(); }).has_value(),
                "a failed rewrite brought the disk back");
         pb::Image whole;
         whole.set_stage(pb::FORMED);
         *whole.add_slots() = record("a", 7, "").slot();
         expect(!s.rewrite(whole), "the disk works again, and could not be written anew");
         expect(!s.save({record("b", 8, "")}, [] { return pb::Image(); }),
                "a disk that was written anew takes no records");
         auto loaded = load(p);
         expect(!loaded.doubt && versions(loaded) == std::map<std::string, uint64_t>{{"a", 7}, {"b", 8}},
                "the image written anew was not loaded");
       }},
  };
}

}  // namespace dunlinwing::test
