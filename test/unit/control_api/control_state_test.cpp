// Checks the sizes stated in docs/control-state.md that no other test covers.
#include "control_api/purge_writer.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

// However many purges there were, a service's set stays small, and purged content stays purged.
void purges_are_bounded() {
  constexpr int kPurges = 5000, kMostKept = 129;
  pb::PurgeSet set;
  for (int i = 0; i < kPurges; ++i) {
    pb::Purge purge;
    purge.set_kind(i % 3 ? "path" : "prefix");
    purge.set_path(fmt::format("/c/{}", i));
    purge.set_name(fmt::format("n{}", i));
    auto done = control_api::add_purge(set, purge);
    expect(done.number == static_cast<uint64_t>(i) + 1, "a purge did not raise the number");
    expect(set.purges_size() <= kMostKept, "the set exceeds its bound");
  }
  uint64_t merged = 0, oldest_kept = kPurges;
  for (auto& purge : set.purges())
    if (purge.kind() == "service")
      merged = std::max(merged, purge.number());
    else
      oldest_kept = std::min(oldest_kept, purge.number());
  expect(merged + 1 == oldest_kept, "some purge is neither kept nor merged into a wider one");
}
}  // namespace

std::vector<Case> control_state_cases() {
  return {{"control state: purges of a service are bounded", purges_are_bounded}};
}

}  // namespace dunlinwing::test
