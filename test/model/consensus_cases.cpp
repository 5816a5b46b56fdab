// The bounds under which the consensus is explored, and its guards by name.
#include <stdexcept>

#include "cases.hpp"
#include "protocol.hpp"

namespace dunlinwing::test::model {
namespace {

struct NamedBounds {
  const char* name;
  Size size;
  Bounds bounds;
};

struct NamedGuard {
  const char* name;
  bool Guards::*member;
  const char* bounds;  // the bounds that detect its absence
};

// P1 changes the replica set and reads, P2 writes; the register "holders" is written in one step.
Bounds change_from(Start start, int data_rounds, int set_rounds, int losses) {
  Bounds bounds;
  bounds.change = true;
  bounds.start = start;
  bounds.data_rounds = data_rounds;
  bounds.set_rounds = set_rounds;
  bounds.split_roles = true;
  bounds.atomic_set_writes = true;
  bounds.losses = losses;
  return bounds;
}

// The change finishes while a writer that knows only the first set uses a higher ballot than P1's first
// round.
Bounds late_writer() {
  Bounds bounds = change_from(Start::joint_set, 3, 1, 0);
  bounds.writer_number = 2;
  return bounds;
}

const std::vector<NamedBounds>& all_bounds() {
  static const std::vector<NamedBounds> bounds = {
      {"one_loss", Size::ci, {.data_rounds = 3, .losses = 1}},
      {"two_losses", Size::ci, {.data_rounds = 3, .losses = 2}},
      {"five_replicas", Size::ci, {.replicas = 5, .data_rounds = 2, .losses = 2}},
      {"restart", Size::ci, {.data_rounds = 3, .losses = 1, .restarts = 1}},
      {"reads", Size::ci, {.data_rounds = 2, .losses = 1, .reads = 2}},
      {"two_versions", Size::ci, {.data_versions = 2, .data_rounds = 3, .most_round_number = 3}},
      {"set_register", Size::ci, {.change = true, .data_rounds = 0, .set_rounds = 2}},
      {"leave_joint", Size::ci, change_from(Start::joint_set, 2, 1, 0)},
      {"leave_joint_loss", Size::ci, change_from(Start::joint_set, 1, 1, 1)},
      {"second_set_loss", Size::ci, change_from(Start::second_set, 2, 0, 1)},
      {"late_writer", Size::large, late_writer()},
      {"leave_joint_long", Size::large, change_from(Start::joint_set, 3, 1, 0)},
      {"change_loss", Size::large, change_from(Start::first_set, 1, 2, 1)},
      {"change", Size::large, change_from(Start::first_set, 2, 2, 0)},
      {"change_long", Size::large, change_from(Start::first_set, 3, 2, 0)},
      {"reads_long", Size::large, {.data_rounds = 3, .losses = 1, .reads = 1}},
  };
  return bounds;
}

const std::vector<NamedGuard>& all_guards() {
  static const std::vector<NamedGuard> guards = {
      {"promise_order", &Guards::promise_order, "one_loss"},
      {"refill", &Guards::refill, "one_loss"},
      {"refill_wait", &Guards::refill_wait, "one_loss"},
      {"copies_are_no_votes", &Guards::copies_are_no_votes, "reads"},
      {"old_replies_of_reads", &Guards::old_replies_of_reads, "reads"},
      {"previous_majority", &Guards::previous_majority, "leave_joint"},
      {"finish_registers", &Guards::finish_registers, "leave_joint"},
      {"names_from_adopters", &Guards::names_from_adopters, "leave_joint"},
      {"adoption_before_names", &Guards::adoption_before_names, "late_writer"},
      {"newer_set_in_dump", &Guards::newer_set_in_dump, "second_set_loss"},
  };
  return guards;
}

Bounds bounds_named(const std::string& name) {
  for (auto& entry : all_bounds())
    if (name == entry.name) return entry.bounds;
  throw std::invalid_argument("no bounds are named " + name);
}

Guards guards_without(const std::string& name) {
  Guards guards;
  for (auto& entry : all_guards())
    if (name == entry.name) guards.*entry.member = false;
  return guards;
}

Exploration explore(const ModelCase& model_case, size_t most_states) {
  Protocol protocol(bounds_named(model_case.name), guards_without(model_case.without));
  return Explorer<Protocol>(protocol, most_states).run();
}

}  // namespace

std::vector<ModelCase> consensus_cases() {
  std::vector<ModelCase> cases;
  for (auto& entry : all_bounds()) cases.push_back({entry.name, "", entry.size, explore});
  for (auto& entry : all_guards()) cases.push_back({entry.bounds, entry.name, Size::ci, explore});
  return cases;
}

}  // namespace dunlinwing::test::model
