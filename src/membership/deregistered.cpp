// An instance's name is new with each start, so the oldest words can go: their last
// beats are long past.
#include "membership/deregistered.hpp"

#include <algorithm>

namespace dunlinwing::membership {
namespace {
constexpr int kMostKept = 512;
constexpr int kTries = 16;
}  // namespace

bool deregister(consensus::RegisterClient& registers, const std::string& instance) {
  auto g = registers.read(kDeregisteredKey);
  auto* h = std::get_if<consensus::VersionedValue>(&g);
  if (!h) return false;
  auto now = *h;
  for (int i = 0; i < kTries; ++i) {
    pb::Deregistered d;
    d.ParseFromString(now.data);
    auto& v = *d.mutable_instances();
    if (std::find(v.begin(), v.end(), instance) != v.end()) return true;
    *v.Add() = instance;
    if (v.size() > kMostKept) v.DeleteSubrange(0, v.size() - kMostKept);
    auto w = registers.write(kDeregisteredKey, now.version, d.SerializeAsString());
    if (std::holds_alternative<consensus::VersionedValue>(w)) return true;
    auto* s = std::get_if<consensus::VersionConflict>(&w);
    if (!s) return false;
    now = s->current;
  }
  return false;
}

std::set<std::string> read_deregistered(const std::string& data) {
  pb::Deregistered d;
  d.ParseFromString(data);
  return {d.instances().begin(), d.instances().end()};
}

}  // namespace dunlinwing::membership
