#include "membership/coordinator_selector.hpp"

#include <algorithm>

namespace dunlinwing::membership {
namespace {
/// 64-bit FNV-1a, which is the same in every program and on every machine.
uint64_t hash(const std::string& text) {
  constexpr uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr uint64_t kPrime = 0x100000001b3;
  uint64_t value = kOffsetBasis;
  for (const char character : text) value = (value ^ static_cast<unsigned char>(character)) * kPrime;
  return value;
}

struct Candidate {
  consensus::Replica replica;
  bool is_able = false;
  uint64_t rank = 0;
};

bool goes_first(const Candidate& left, const Candidate& right) {
  if (left.is_able != right.is_able) return left.is_able;
  if (left.rank != right.rank) return left.rank > right.rank;
  return left.replica.name < right.replica.name;
}
}  // namespace

std::vector<consensus::Replica> CoordinatorSelector::candidates(
    const std::vector<consensus::Replica>& replicas, const std::vector<Member>& members,
    const std::string& resource, TimePoint now) const {
  const Duration recent = bound_ * 3 / 4;  // a read lease's span: a status is reported several times in it
  auto has_recent_status = [&](const std::string& name) {
    return std::any_of(members.begin(), members.end(),
                       [&](const Member& member) { return member.name == name && member.age < recent; });
  };
  std::vector<Candidate> ordered;
  for (const auto& replica : replicas)
    ordered.push_back({replica, has_recent_status(replica.name) && !is_suspected(replica.name, now),
                       hash(replica.name + "\n" + resource)});
  std::sort(ordered.begin(), ordered.end(), goes_first);
  std::vector<consensus::Replica> result;
  for (auto& candidate : ordered) result.push_back(std::move(candidate.replica));
  return result;
}

void CoordinatorSelector::record_failure(const std::string& replica, TimePoint now) {
  suspected_until_[replica] = now + bound_;
}

void CoordinatorSelector::record_success(const std::string& replica) { suspected_until_.erase(replica); }

bool CoordinatorSelector::is_suspected(const std::string& replica, TimePoint now) const {
  const auto found = suspected_until_.find(replica);
  return found != suspected_until_.end() && now < found->second;
}

}  // namespace dunlinwing::membership
