// Votes on one register: whatever order messages come in, two different values
// are never both chosen.
#include "consensus/vote.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
pb::Ballot ballot(uint64_t r, const std::string& n) {
  pb::Ballot b;
  b.set_round(r);
  b.set_node(n);
  return b;
}
}  // namespace

std::vector<Case> registry_cases() {
  return {
      property("registry: of racing proposers at most one value is chosen for a version",
               [] {
                 constexpr int kHolders = 5, kProposers = 3;
                 std::vector<pb::RegisterState> slots(kHolders);
                 struct Prop {
                   pb::Ballot b;
                   int yes = 0, at = 0, acks = 0;
                   pb::RegisterState best;
                   bool accepting = false;
                   pb::Value v;
                   std::vector<bool> asked = std::vector<bool>(kHolders), put = std::vector<bool>(kHolders);
                 };
                 std::vector<Prop> ps(kProposers);
                 uint64_t top = 0;
                 std::map<uint64_t, std::set<std::string>> chosen;
                 std::map<std::string, std::set<int>> accepted;  // ballot -> holders
                 auto fresh = [&](int i) {
                   ps[i] = Prop();
                   ps[i].b = ballot(++top, "p" + std::to_string(i));
                 };
                 for (int i = 0; i < kProposers; ++i) fresh(i);
                 auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
                 for (int s : steps) {
                   int i = s % kProposers, h = (s / kProposers) % kHolders;
                   auto& p = ps[static_cast<size_t>(i)];
                   if (s > 970) {
                     fresh(i);
                     continue;
                   }
                   auto& slot = slots[static_cast<size_t>(h)];
                   if (!p.accepting && !p.asked[static_cast<size_t>(h)]) {
                     p.asked[static_cast<size_t>(h)] = true;
                     pb::Prepare q;
                     q.set_name("r");
                     *q.mutable_ballot() = p.b;
                     auto st = consensus::prepare(slot, q);
                     if (st.granted) {
                       slot = st.state;
                       ++p.yes;
                       if (consensus::is_lower(p.best.accepted(), slot.accepted())) p.best = slot;
                     }
                     if (p.yes >= 3) {
                       p.accepting = true;
                       // A compare-and-set at version 0; else what is there is finished.
                       p.v = p.best.value();
                       if (p.v.version() == 0) {
                         p.v.set_version(1);
                         p.v.set_data("by" + std::to_string(i) + "/" + std::to_string(p.b.round()));
                       }
                     }
                   } else if (p.accepting && !p.put[static_cast<size_t>(h)]) {
                     p.put[static_cast<size_t>(h)] = true;
                     pb::Accept q;
                     q.set_name("r");
                     *q.mutable_ballot() = p.b;
                     *q.mutable_value() = p.v;
                     auto st = consensus::accept(slot, q);
                     if (st.granted) {
                       slot = st.state;
                       if (++p.acks >= 3) chosen[p.v.version()].insert(p.v.data());
                     }
                   }
                 }
                 for (auto& [v, ds] : chosen) RC_ASSERT(ds.size() == 1u);
               }),
      {"registry: a promise is not given twice, nor an accept below it",
       [] {
         pb::RegisterState state;
         pb::Prepare request;
         *request.mutable_ballot() = ballot(3, "a");
         auto one = consensus::prepare(state, request);
         expect(one.granted && one.must_sync, "the first promise");
         expect(!consensus::prepare(one.state, request).granted, "the same ballot twice");
         pb::Accept low;
         *low.mutable_ballot() = ballot(2, "z");
         expect(!consensus::accept(one.state, low).granted, "an accept below the promise");
       }},
  };
}

}  // namespace dunlinwing::test
