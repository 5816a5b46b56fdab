// The step that maintains the replica set, and the first set.
#include "membership/replica_repair.hpp"

#include "membership/discovery.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using membership::ClusterView;
using membership::RepairNode;

constexpr Duration kBound{2000};

RepairNode node(const std::string& name, const std::string& zone, bool votes) {
  return {name, zone, "at:" + name, true, true, false, votes};
}

consensus::Replica replica(const RepairNode& node) { return {node.name, node.address}; }

// The replicas a, b and c vote.
ClusterView three(int tolerate) {
  ClusterView view{{}, {node("a", "1", true), node("b", "2", true), node("c", "2", true)}, tolerate, kBound};
  for (auto& member : view.nodes) view.replicas.push_back(replica(member));
  return view;
}

void end(RepairNode& node) {
  node.present = node.votes = false;
  node.since_response = node.non_voting = node.absent = membership::absence_limit(kBound);
}

void fall_silent(RepairNode& node, Duration since) {
  node.votes = false;
  node.since_response = node.non_voting = since;
}

std::string names(const std::vector<consensus::Replica>& list) {
  std::string out;
  for (auto& replica : list) out += replica.name;
  return out;
}

// The names in the planned list.
std::string step(const ClusterView& view) {
  auto plan = membership::plan_repair(view);
  return plan ? names(plan->replicas) : "none";
}

// A cluster that undergoes random failures and applies the planned steps.
struct FailureSimulation {
  ClusterView view;

  FailureSimulation(int tolerate, int nodes, int first) {
    view.tolerate = tolerate;
    view.bound = kBound;
    for (int i = 0; i < nodes; ++i) {
      view.nodes.push_back(node("n" + std::to_string(i), std::to_string(i % 3), i < first));
      if (i < first) view.replicas.push_back(replica(view.nodes.back()));
    }
  }
  RepairNode& at(const std::string& name) {
    return *std::find_if(view.nodes.begin(), view.nodes.end(), [&](auto& node) { return node.name == name; });
  }
  bool member(const std::string& name) const { return consensus::contains_name(view.replicas, name); }
  size_t voting(const std::vector<consensus::Replica>& list) {
    return static_cast<size_t>(std::count_if(list.begin(), list.end(), [&](auto& replica) {
      return at(replica.name).votes && consensus::contains(view.replicas, replica);
    }));
  }

  // Applies one step and checks it; false when the plan has none.
  bool apply_step() {
    auto plan = membership::plan_repair(view);
    if (!plan) return false;
    auto& to = plan->replicas;
    RC_ASSERT(voting(view.replicas) >= consensus::majority_of(view.replicas.size()));
    // The change never depends on new replicas, except in sets too small to tolerate a failure.
    if (view.replicas.size() >= 3) RC_ASSERT(voting(to) >= consensus::majority_of(to.size()));
    RC_ASSERT(to.size() >= std::min<size_t>(view.replicas.size(), 3));
    std::set<std::string> once;
    for (auto& member : to) {
      RC_ASSERT(once.insert(member.name).second);
      if (!consensus::contains(view.replicas, member))
        RC_ASSERT(at(member.name).present && at(member.name).disk);
    }
    // A healthy replica is never replaced.
    for (auto& member : view.replicas)
      if (at(member.name).votes && !at(member.name).leaving) RC_ASSERT(consensus::contains(to, member));
    view.replicas = to;
    for (auto& member : view.replicas)
      if (at(member.name).present) at(member.name).votes = true;  // refilled
    return true;
  }

  void inject_failure(int draw) {
    auto& struck = view.nodes[static_cast<size_t>(draw) % view.nodes.size()];
    switch (draw / 20 % 6) {
      case 0:
        return end(struck);
      case 1:
        return fall_silent(struck, Duration(500));
      case 2:
        struck = node(struck.name, struck.zone, member(struck.name));
        return;
      case 3:
        return fall_silent(struck, membership::non_voting_limit(kBound));
      case 4:
        struck.leaving = true;
        struck.present = false;
        return;
      default:
        apply_step();
    }
  }
};

// Under any sequence of failures a majority keeps voting, and the set reaches the required size.
void majority_survives_failures() {
  int tolerate = *rc::gen::inRange(1, 4);
  int nodes = *rc::gen::inRange(3, 12), first = *rc::gen::inRange(1, 4);
  FailureSimulation simulation(tolerate, nodes, first);
  for (int draw : *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 1000)))
    simulation.inject_failure(draw);
  for (auto& known : simulation.view.nodes)
    known = node(known.name, known.zone, simulation.member(known.name));
  int steps = 0;
  while (simulation.apply_step()) RC_ASSERT(++steps < 10);
  auto wanted = std::min<size_t>({static_cast<size_t>(nodes), static_cast<size_t>(2 * tolerate + 1), 9});
  RC_ASSERT(simulation.view.replicas.size() >= wanted);
}

void grows_by_zones() {
  auto view = three(2);
  view.nodes.push_back(node("d", "2", false));
  view.nodes.push_back(node("e", "1", false));
  view.nodes.push_back(node("f", "3", false));
  same(step(view), std::string("abcfe"), "step");
  view.nodes.back().disk = false;
  same(step(view), std::string("abced"), "step");
  same(step(three(2)), std::string("none"), "without a candidate");
  view.tolerate = 0;
  same(step(view), std::string("none"), "operators maintain the set");
}

void silent_is_replaced() {
  auto view = three(1);
  view.nodes.push_back(node("d", "3", false));
  same(step(view), std::string("none"), "all replicas are healthy");
  fall_silent(view.nodes[1], membership::unresponsive_limit(kBound) - Duration(1));
  same(step(view), std::string("none"), "unresponsive for a moment");
  fall_silent(view.nodes[1], membership::unresponsive_limit(kBound));
  same(step(view), std::string("adc"), "unresponsive");
  view.nodes[3].present = false;
  same(step(view), std::string("none"), "no candidate is present");
  end(view.nodes[1]);
  same(step(view), std::string("none"), "a set of three does not shrink");
}

void non_voting_is_replaced_later() {
  auto view = three(1);
  view.nodes.push_back(node("d", "3", false));
  fall_silent(view.nodes[1], membership::non_voting_limit(kBound) - Duration(1));
  view.nodes[1].since_response = Duration(0);
  same(step(view), std::string("none"), "it may be refilled");
  view.nodes[1].non_voting = membership::non_voting_limit(kBound);
  same(step(view), std::string("adc"), "its disk has failed");
}

void leaving_is_replaced() {
  auto view = three(1);
  view.nodes.push_back(node("d", "3", false));
  view.nodes[2].leaving = true;
  view.nodes[2].present = false;
  same(step(view), std::string("abd"), "it is leaving");
}

void moved_is_replaced() {
  auto view = three(1);
  view.nodes[1].address = "at:elsewhere";
  view.nodes[1].votes = false;
  auto plan = membership::plan_repair(view);
  expect(plan && plan->replicas[1] == consensus::Replica{"b", "at:elsewhere"},
         "the old address is still listed");
}

void two_are_replaced_at_once() {
  auto view = three(2);
  for (auto* name : {"d", "e"}) {
    view.nodes.push_back(node(name, "3", true));
    view.replicas.push_back(replica(view.nodes.back()));
  }
  for (auto* name : {"f", "g", "h"}) view.nodes.push_back(node(name, "1", false));
  end(view.nodes[0]);
  end(view.nodes[3]);
  same(step(view), std::string("fbcge"), "two are replaced");
  end(view.nodes[4]);
  same(step(view), std::string("none"), "no majority votes");
}

void gone_is_dropped() {
  auto view = three(1);
  view.nodes.push_back(node("d", "3", true));
  view.replicas.push_back(replica(view.nodes.back()));
  end(view.nodes[0]);
  same(step(view), std::string("bcd"), "step");
}

void quorums_meet() {
  consensus::ReplicaSetView set({{"a", "1"}, {"b", "2"}, {"c", "3"}});
  expect(set.is_quorum({true, true, false}) && !set.is_quorum({true, false, false}), "stable");
  pb::ReplicaSet joint;
  joint.set_epoch(1);
  for (auto* name : {"a", "d", "e"}) joint.add_replicas()->set_name(name);
  for (auto* name : {"a", "b", "c"}) joint.add_previous()->set_name(name);
  expect(set.adopt(joint) && set.joint() && set.all().size() == 5, "the joint set");
  auto flags = [&](const std::string& who) {
    consensus::MemberFlags out;
    for (auto& replica : set.all()) out.push_back(who.find(replica.name) != who.npos);
    return out;
  };
  expect(!set.is_quorum(flags("abc")), "only the old majority");
  expect(!set.is_quorum(flags("ade")), "only the new majority");
  expect(set.is_quorum(flags("abd")), "both");
  same(set.sufficient_count(), size_t{4}, "the number of replicas that always forms a quorum");
  expect(!set.adopt(joint), "the same epoch again");
}

void first_set_of_seeds() {
  membership::NodeIdentity first{"a", "1", "p:a", true, {}}, without_disk{"b", "2", "p:b", false, {}},
      third{"c", "3", "p:c", true, {}};
  auto one = membership::build_first_set({third, without_disk, first}),
       other = membership::build_first_set({first, third, without_disk, first});
  expect(one && other && one->SerializeAsString() == other->SerializeAsString() &&
             one->replicas_size() == 2 && one->epoch() == 1,
         "the first sets differ or are wrong");
  expect(!membership::build_first_set({without_disk}), "a set was formed without a disk");
  membership::NodeIdentity namesake{"a", "1", "p:d", true, {}};
  expect(!membership::build_first_set({first, namesake}), "two seeds with the same name were accepted");
}

void identity_is_read_back() {
  auto identity = membership::parse_node_identity(
      R"({"name":"a","zone":"z","peer_address":"p","disk":true,"epoch":3,"holders":[{"name":"h","address":"q"}]})");
  expect(identity && identity->name == "a" && identity->disk && identity->replica_set.epoch() == 3 &&
             identity->replica_set.replicas(0).address() == "q",
         "the identity was parsed wrongly");
  expect(!membership::parse_node_identity("{}") && !membership::parse_node_identity("x"),
         "an identity without a name was accepted");
}
}  // namespace

std::vector<Case> replica_repair_cases() {
  return {
      property(
          "replica_repair: under any failures a majority keeps voting and the set reaches the required size",
          majority_survives_failures),
      {"replica_repair: new replicas are taken from the zones with the fewest, in one step", grows_by_zones},
      {"replica_repair: an unresponsive replica is replaced by a present node, in one step",
       silent_is_replaced},
      {"replica_repair: a replica that responds but cannot vote is replaced later",
       non_voting_is_replaced_later},
      {"replica_repair: a leaving replica is replaced while it still votes", leaving_is_replaced},
      {"replica_repair: a replica is replaced by its successor of the same name at another address",
       moved_is_replaced},
      {"replica_repair: two lost replicas of five are replaced at once, three are not",
       two_are_replaced_at_once},
      {"replica_repair: a gone replica is dropped if enough others are left", gone_is_dropped},
      {"replica set: quorums of successive sets always intersect", quorums_meet},
      {"discovery: the first set consists of the seeds with a disk, in a fixed order", first_set_of_seeds},
      {"discovery: the identity that a node reports is parsed", identity_is_read_back},
  };
}

}  // namespace dunlinwing::test
