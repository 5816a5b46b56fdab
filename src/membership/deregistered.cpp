#include "membership/deregistered.hpp"

#include <algorithm>

namespace dunlinwing::membership {
namespace {
// Maximum number of names in the register. The oldest can be dropped: an instance gets a new name at each
// start, and the last heartbeats of these are long past.
constexpr int kMaxInstances = 512;

bool contains(const pb::Deregistered& deregistered, const std::string& instance) {
  const auto& instances = deregistered.instances();
  return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

void append(pb::Deregistered& deregistered, const std::string& instance) {
  auto& instances = *deregistered.mutable_instances();
  *instances.Add() = instance;
  if (instances.size() > kMaxInstances) instances.DeleteSubrange(0, instances.size() - kMaxInstances);
}
}  // namespace

bool deregister(consensus::RegisterUpdater& updater, const std::string& instance, TimePoint deadline) {
  consensus::RegisterUpdate update;
  update.deadline = deadline;
  update.apply = [&](const consensus::VersionedValue& current) -> std::optional<std::string> {
    pb::Deregistered deregistered;
    deregistered.ParseFromString(current.data);
    if (contains(deregistered, instance)) return {};
    append(deregistered, instance);
    return deregistered.SerializeAsString();
  };
  return as<consensus::VersionedValue>(updater.update(kDeregisteredKey, update)) != nullptr;
}

std::set<std::string> parse_deregistered(const std::string& data) {
  pb::Deregistered deregistered;
  deregistered.ParseFromString(data);
  return {deregistered.instances().begin(), deregistered.instances().end()};
}

}  // namespace dunlinwing::membership
