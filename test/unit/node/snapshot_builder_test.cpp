// The routing snapshot built from statuses and register values.
#include "node/snapshot_builder.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr TimePoint kNow{100000};

node::SnapshotBuilder builder() { return {"node-b", kNow}; }

membership::BackendInstanceStatus instance_status(const std::string& instance, const std::string& address,
                                                  Duration age) {
  membership::BackendInstanceStatus status;
  status.heartbeat.set_instance(instance);
  status.heartbeat.set_service("shop");
  status.heartbeat.set_version("v1");
  status.heartbeat.set_zone("zone-1");
  status.heartbeat.set_address(address);
  status.heartbeat.set_capacity(3);
  status.age = age;
  return status;
}

consensus::VersionedValue value(const google::protobuf::MessageLite& message) {
  return {1, message.SerializeAsString()};
}

void ranks_the_node() {
  pb::RolloutState rollout;
  uint64_t generation = 0;
  for (const char* node : {"node-a", "node-b", "node-c"})
    (*rollout.mutable_nodes())[node].set_generation(++generation);
  auto three_nodes = builder();
  three_nodes.set_rollout(rollout);
  const auto snapshot = three_nodes.build({});
  same(snapshot->nodes, 3, "nodes");
  same(snapshot->rank, 1, "rank");
  same(snapshot->assigned_generations.at("node-c"), uint64_t{3}, "generation of node-c");

  auto no_nodes = builder();
  no_nodes.set_rollout({});
  same(no_nodes.build({})->nodes, 1, "nodes without a rollout");
}

void adds_the_running_configuration() {
  auto configuration = std::make_shared<config::RoutingConfiguration>();
  configuration->name = "42";
  config::SystemOptions system;
  system.retry_allowance = 7;
  auto running = builder();
  running.set_running({configuration, system, 42, 42});
  running.set_configurations({{"old", std::make_shared<config::RoutingConfiguration>()}});
  const auto snapshot = running.build({});
  expect(snapshot->configuration == configuration, "the running configuration is not set");
  expect(snapshot->configurations.at("42") == configuration,
         "the running configuration is not found by its name");
  same(snapshot->configurations.size(), size_t{2}, "configurations");
  same(snapshot->generation, uint64_t{42}, "generation");
  same(snapshot->configuration_number, uint64_t{42}, "configuration number");
  same(snapshot->system.retry_allowance, int64_t{7}, "system options");
}

void skips_gone_instances() {
  auto gone = instance_status("gone", "10.0.0.2:80", Duration(10));
  gone.gone = true;
  auto with_one_gone = builder();
  with_one_gone.add_backend_instances(
      {{"alive", instance_status("alive", "10.0.0.1:80", Duration(10))}, {"gone", gone}});
  expect(with_one_gone.live_instances() == std::vector<std::string>{"alive"}, "wrong live instances");
  const auto snapshot = with_one_gone.build({});
  same(snapshot->backend_instances.at("shop").size(), size_t{1}, "instances");
  const auto& instance = snapshot->backend_instances.at("shop").front();
  same(instance.instance, std::string("alive"), "instance");
  same(instance.version, std::string("v1"), "version");
  same(instance.zone, std::string("zone-1"), "zone");
  same(instance.address, std::string("10.0.0.1:80"), "address");
  same(instance.capacity, 3, "capacity");
  expect(instance.cold_until == TimePoint(0), "an instance without a warm-up time is cold");
}

void skips_earlier_owners_of_an_address() {
  auto reused_address = builder();
  reused_address.add_backend_instances({{"earlier", instance_status("earlier", "10.0.0.1:80", Duration(500))},
                                        {"later", instance_status("later", "10.0.0.1:80", Duration(20))},
                                        {"other", instance_status("other", "10.0.0.2:80", Duration(900))}});
  expect(reused_address.live_instances() == std::vector<std::string>{"later", "other"},
         "not one instance for each address");
}

void counts_the_warm_up_from_the_heartbeat() {
  auto cold = instance_status("cold", "10.0.0.1:80", Duration(300));
  cold.heartbeat.set_warm_up_ms(1000);
  auto with_cold = builder();
  with_cold.add_backend_instances({{"cold", cold}});
  expect(with_cold.build({})->backend_instances.at("shop").front().cold_until == kNow + Duration(700),
         "wrong end of the warm-up time");
}

void reads_the_registers() {
  pb::ServiceState state;
  state.set_current("v2");
  pb::RateQuotas quotas;
  (*quotas.mutable_milli_requests())["node-b"] = 2500;
  pb::RateQuotas of_others;
  (*of_others.mutable_milli_requests())["node-a"] = 1000;
  const membership::ChosenValues chosen{{"service/shop", value(state)},
                                        {"share/shop", value(quotas)},
                                        {"share/blog", value(of_others)},
                                        {"purge/shop", value(pb::PurgeSet())},
                                        {"rollout", value(pb::RolloutState())}};
  auto reader = builder();
  reader.add_register_values(chosen);
  same(reader.service_states().at("shop").current(), std::string("v2"), "the service's version");
  const auto snapshot = reader.build({});
  same(snapshot->service_states.size(), size_t{1}, "service states");
  same(snapshot->rate_quotas.size(), size_t{1}, "quotas of this node");
  same(snapshot->rate_quotas.at("shop"), 2.5, "requests a second");
  same(snapshot->purges.count("shop"), size_t{1}, "purges of the service");
}

void ends_switches_to_aborted_canaries() {
  pb::ServiceState state;
  state.set_current("v1");
  state.set_canary("v2");
  state.set_switching(true);
  auto switching = builder();
  switching.add_register_values({{"service/shop", value(state)}});
  expect(switching.service_states().at("shop").switching(),
         "the state of the register was changed before build()");
  const auto snapshot = switching.build({"shop"});
  expect(!snapshot->service_states.at("shop").switching(), "an aborted canary is still being switched to");
  same(snapshot->aborted_canaries.count("shop"), size_t{1}, "aborted canaries");
}

membership::Member member_with_link(const std::string& name, bool ready, double link_mbps) {
  membership::Member member;
  member.name = name;
  member.info.set_zone("zone-1");
  member.info.set_peer_address(name + ":7");
  member.info.set_ready(ready);
  member.info.set_link_mbps(link_mbps);
  return member;
}

void fast_nodes_serve_as_shields() {
  constexpr double kFast = 100, kSlow = 9.8;
  auto without_shields = builder();
  without_shields.add_shields({member_with_link("fast", true, kFast), member_with_link("slow", true, kSlow),
                               member_with_link("unready", false, kFast)});
  const auto snapshot = without_shields.build({});
  same(snapshot->shields.size(), size_t{1}, "nodes that fetch for others");
  same(snapshot->shields.front().name, std::string("fast"), "the node that fetches");

  auto unknown_links = builder();
  unknown_links.add_shields({member_with_link("a", true, 0), member_with_link("b", true, 0)});
  same(unknown_links.build({})->shields.size(), size_t{2},
       "nodes that fetch where no link rate is configured");
}

void lists_ready_shields() {
  const auto member = [](const std::string& name, bool shield, bool ready) {
    membership::Member described;
    described.name = name;
    described.info.set_peer_address(name + ":7");
    described.info.set_shield(shield);
    described.info.set_ready(ready);
    return described;
  };
  auto with_shields = builder();
  with_shields.add_shields(
      {member("ready", true, true), member("starting", true, false), member("no-shield", false, true)});
  const auto snapshot = with_shields.build({});
  same(snapshot->shields.size(), size_t{1}, "shields");
  same(snapshot->shields.front().name, std::string("ready"), "shield");
  same(snapshot->shields.front().address, std::string("ready:7"), "address of the shield");
}
}  // namespace

std::vector<Case> snapshot_builder_cases() {
  return {
      {"snapshot builder: a node is ranked among the nodes of the rollout", ranks_the_node},
      {"snapshot builder: the running configuration is found by its name", adds_the_running_configuration},
      {"snapshot builder: instances that are gone receive no requests", skips_gone_instances},
      {"snapshot builder: an address belongs to the instance with the most recent heartbeat",
       skips_earlier_owners_of_an_address},
      {"snapshot builder: a warm-up is counted from the heartbeat", counts_the_warm_up_from_the_heartbeat},
      {"snapshot builder: states, quotas and purges are read from the registers", reads_the_registers},
      {"snapshot builder: a switch to an aborted canary ends", ends_switches_to_aborted_canaries},
      {"snapshot builder: only ready shields are listed", lists_ready_shields},
      {"snapshot builder: without shields the ready nodes with fast links fetch",
       fast_nodes_serve_as_shields},
  };
}

}  // namespace dunlinwing::test
