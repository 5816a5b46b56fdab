// The bounds under which leases are explored, and their guards by name.
#include "cases.hpp"
#include "lease.hpp"

namespace dunlinwing::test::model {
namespace {

// Writes of the lease register in one run.
constexpr int kLeaseVersions = 2;
constexpr int kManyLeaseVersions = 3;

LeaseGuards guards_without(const std::string& name) {
  LeaseGuards guards;
  if (name == "from_before_write") guards.from_before_write = false;
  if (name == "from_pull_start") guards.from_pull_start = false;
  if (name == "three_quarters") guards.three_quarters = false;
  if (name == "fencing_by_term") guards.fencing_by_term = false;
  return guards;
}

Exploration leader(const ModelCase& model_case, size_t most_states) {
  LeaderLease model(guards_without(model_case.without), kLeaseVersions);
  return Explorer<LeaderLease>(model, most_states).run();
}

Exploration long_leader(const ModelCase& model_case, size_t most_states) {
  LeaderLease model(guards_without(model_case.without), kManyLeaseVersions);
  return Explorer<LeaderLease>(model, most_states).run();
}

Exploration reader(const ModelCase& model_case, size_t most_states) {
  ReadLease model(guards_without(model_case.without));
  return Explorer<ReadLease>(model, most_states).run();
}

}  // namespace

std::vector<ModelCase> lease_cases() {
  return {
      {"leader_lease", "", Size::ci, leader},
      {"leader_lease_long", "", Size::large, long_leader},
      {"read_lease", "", Size::ci, reader},
      {"leader_lease", "from_before_write", Size::ci, leader},
      {"leader_lease", "three_quarters", Size::ci, leader},
      {"leader_lease", "fencing_by_term", Size::ci, leader},
      {"read_lease", "from_pull_start", Size::ci, reader},
      {"read_lease", "three_quarters", Size::ci, reader},
  };
}

}  // namespace dunlinwing::test::model
