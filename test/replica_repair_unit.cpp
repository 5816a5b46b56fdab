// The step that keeps the set of holders, and the first set.
#include "membership/discovery.hpp"
#include "membership/replica_repair.hpp"
#include "unit.hpp"

namespace dunlinwing::test {
namespace {
using membership::ClusterView;
using membership::RepairCandidate;

RepairCandidate node(const std::string& name, const std::string& zone, bool votes) {
  return {name, zone, "at:" + name, true, true, votes, Duration(0)};
}
ClusterView three(int tolerate) {
  ClusterView s{
      {}, {node("a", "1", true), node("b", "2", true), node("c", "2", true)}, tolerate, Duration(2000)};
  for (auto& n : s.nodes) s.set.push_back({n.name, n.address});
  return s;
}
void goes(RepairCandidate& k) {
  k.present = k.votes = false;
  k.absent = Duration(2000) * membership::kGoneBounds;
}
std::string step(const ClusterView& s) {
  auto st = membership::plan_repair(s);
  return st ? (st->add ? "+" : "-") + st->who.name : "none";
}

// Whatever comes and goes: one change at a time, none while a holder is neither gone
// nor voting, a majority of those that vote left over, and an end once all is quiet.
void any_course() {
  int tolerate = *rc::gen::inRange(1, 4);
  int n = *rc::gen::inRange(3, 12), first = *rc::gen::inRange(1, 4);
  ClusterView s{{}, {}, tolerate, Duration(2000)};
  for (int i = 0; i < n; ++i) {
    s.nodes.push_back(node("n" + std::to_string(i), std::to_string(i % 3), i < first));
    if (i < first) s.set.push_back({s.nodes.back().name, s.nodes.back().address});
  }
  auto at = [&](const std::string& name) -> RepairCandidate& {
    return *std::find_if(s.nodes.begin(), s.nodes.end(), [&](auto& k) { return k.name == name; });
  };
  auto in = [&](const std::string& name) {
    return std::any_of(s.set.begin(), s.set.end(), [&](auto& h) { return h.name == name; });
  };
  auto take = [&] {
    auto st = membership::plan_repair(s);
    if (!st) return false;
    size_t votes = 0, undecided = 0;
    for (auto& h : s.set) {
      auto& k = at(h.name);
      votes += k.votes;
      undecided += !k.votes && (k.present || k.absent < s.bound * membership::kGoneBounds);
    }
    RC_ASSERT(undecided == 0u);
    RC_ASSERT(votes >= s.set.size() / 2 + 1);
    auto before = s.set.size();
    if (st->add) {
      RC_ASSERT(!in(st->who.name) && at(st->who.name).present && at(st->who.name).disk);
      RC_ASSERT(votes < static_cast<size_t>(2 * tolerate + 1));
      s.set.push_back(st->who);
      at(st->who.name).votes = true;  // filled
      ++votes;
    } else {
      RC_ASSERT(in(st->who.name) && !at(st->who.name).votes && before > 3);
      std::erase_if(s.set, [&](auto& h) { return h.name == st->who.name; });
    }
    RC_ASSERT(votes >= s.set.size() / 2 + 1);
    return true;
  };
  for (int x : *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000))) {
    auto& k = s.nodes[static_cast<size_t>(x) % s.nodes.size()];
    int what = x / 20 % 5;
    if (what == 0) goes(k);
    if (what == 1) k.present = k.votes = false, k.absent = Duration(1000);
    if (what == 2) k.present = true, k.votes = in(k.name), k.absent = Duration(0);
    if (what == 3) k.present = true, k.votes = false;
    if (what == 4) take();
  }
  for (auto& k : s.nodes) k.present = true, k.votes = in(k.name), k.absent = Duration(0);
  int steps = 0;
  while (take()) RC_ASSERT(++steps < 40);
  RC_ASSERT(s.set.size() >=
            std::min<size_t>({static_cast<size_t>(n), static_cast<size_t>(2 * tolerate + 1), 9}));
}
}  // namespace

std::vector<Case> keepers_cases() {
  return {
      property(
          "replica_repair: whatever comes and goes, a majority stays and the set comes to what is wanted",
          any_course),
      {"replica_repair: the zone with fewest holders gives the next",
       [] {
         auto s = three(2);
         s.nodes.push_back(node("d", "2", false));
         s.nodes.push_back(node("e", "1", false));
         s.nodes.push_back(node("f", "3", false));
         same(step(s), std::string("+f"), "step");
         s.nodes.back().disk = false;
         same(step(s), std::string("+e"), "step");
         same(step(three(2)), std::string("none"), "with nobody fit");
         s.tolerate = 0;
         same(step(s), std::string("none"), "operators keep it");
       }},
      {"replica_repair: one that is gone is replaced, the new one first",
       [] {
         auto s = three(1);
         s.nodes.push_back(node("d", "3", false));
         same(step(s), std::string("none"), "all is well");
         s.nodes[1].present = s.nodes[1].votes = false;
         same(step(s), std::string("none"), "away for a moment");
         goes(s.nodes[1]);
         same(step(s), std::string("+d"), "gone");
         s.set.push_back({"d", "at:d"});
         same(step(s), std::string("none"), "the new one is not filled yet");
         s.nodes[3].votes = true;
         same(step(s), std::string("-b"), "the new one votes");
       }},
      {"replica_repair: without a majority that votes nothing is tried",
       [] {
         auto s = three(1);
         s.nodes.push_back(node("d", "3", false));
         goes(s.nodes[1]);
         goes(s.nodes[2]);
         same(step(s), std::string("none"), "step");
       }},
      {"discovery: the first set is the seeds with a disk, in one order",
       [] {
         membership::Self a{"a", "1", "p:a", true, {}}, b{"b", "2", "p:b", false, {}},
             c{"c", "3", "p:c", true, {}};
         auto x = membership::first_set({c, b, a}), y = membership::first_set({a, c, b, a});
         expect(x && y && x->SerializeAsString() == y->SerializeAsString() && x->holders_size() == 2 &&
                    x->epoch() == 1,
                "not one set");
         expect(!membership::first_set({b}), "a set without a disk");
         membership::Self d{"a", "1", "p:d", true, {}};
         expect(!membership::first_set({a, d}), "two that go by one name");
       }},
      {"discovery: what a relay tells of itself is read back",
       [] {
         auto s = membership::read_self(
             R"({"name":"a","zone":"z","peer_address":"p","disk":true,"epoch":3,"holders":[{"name":"h","address":"q"}]})");
         expect(s && s->name == "a" && s->disk && s->set.epoch() == 3 && s->set.holders(0).address() == "q",
                "read wrongly");
         expect(!membership::read_self("{}") && !membership::read_self("x"), "taken without a name");
       }},
  };
}

}  // namespace dunlinwing::test
