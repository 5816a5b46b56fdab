#include "membership/deregistered.hpp"

#include <algorithm>

namespace dunlinwing::membership {
namespace {
// Maximum number of names in the register. The oldest can be dropped: an instance gets a new name at each
// start, and the last heartbeats of these are long past.
constexpr int kMaxInstances = 512;
constexpr int kMaxAttempts = 16;  // writes, when concurrent writes cause version conflicts

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

bool deregister(consensus::RegisterClient& registers, const std::string& instance) {
  auto read = registers.read(kDeregisteredKey);
  auto* found = std::get_if<consensus::VersionedValue>(&read);
  if (!found) return false;
  auto current = *found;
  for (int i = 0; i < kMaxAttempts; ++i) {
    pb::Deregistered deregistered;
    deregistered.ParseFromString(current.data);
    if (contains(deregistered, instance)) return true;
    append(deregistered, instance);
    auto result = registers.write(kDeregisteredKey, current.version, deregistered.SerializeAsString());
    if (std::holds_alternative<consensus::VersionedValue>(result)) return true;
    auto* conflict = std::get_if<consensus::VersionConflict>(&result);
    if (!conflict) return false;
    current = conflict->current;
  }
  return false;
}

std::set<std::string> parse_deregistered(const std::string& data) {
  pb::Deregistered deregistered;
  deregistered.ParseFromString(data);
  return {deregistered.instances().begin(), deregistered.instances().end()};
}

}  // namespace dunlinwing::membership
