// A leader may write only under the lease of its decision, and never over a higher term.
#include "membership/leadership_fence.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using membership::may_replace;

void examples() {
  expect(may_replace({true, 3}, 3, 0), "the first write of a value was refused");
  expect(may_replace({true, 3}, 3, 2), "a successor could not replace its predecessor's value");
  expect(may_replace({true, 3}, 3, 3), "a leader could not replace its own value");
  expect(!may_replace({true, 3}, 3, 4), "a value of a later term was replaced");
  expect(!may_replace({false, 3}, 3, 3), "a leader wrote after its lease expired");
  expect(!may_replace({true, 5}, 3, 3), "a decision of an earlier lease was written under a later one");
}

// Leaders follow each other, each with a higher term, and their writes arrive in any order: the term in the
// register never decreases.
void terms_never_fall() {
  uint64_t in_force = 0;
  membership::LeaseObservation lease;
  std::vector<uint64_t> decisions;  // the terms of decisions that are not yet written
  for (auto action : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
    if (action == 0) lease = {true, lease.term + 1};
    if (action == 1) lease.held = false;
    if (action == 2 && lease.held) decisions.push_back(lease.term);
    if (action != 3 || decisions.empty()) continue;
    auto at = decisions.begin() + static_cast<long>(*rc::gen::inRange<size_t>(0, decisions.size()));
    if (may_replace(lease, *at, in_force)) {
      RC_ASSERT(*at >= in_force);
      RC_ASSERT(lease.held && *at == lease.term);
      in_force = *at;
    }
    decisions.erase(at);
  }
}
}  // namespace

std::vector<Case> leadership_fence_cases() {
  return {{"fence: a write needs the lease of its decision and no higher term", examples},
          property("fence: the term of a register never decreases", terms_never_fall)};
}

}  // namespace dunlinwing::test
