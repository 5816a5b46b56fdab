#include "membership/coordinator_selector.hpp"

#include <algorithm>

namespace dunlinwing::membership {
namespace {
/// Spreads the differences of similar values over all bits (the finalizer of MurmurHash3).
uint64_t mix(uint64_t value) {
  constexpr uint64_t kFirstFactor = 0xff51afd7ed558ccd;
  constexpr uint64_t kSecondFactor = 0xc4ceb9fe1a85ec53;
  constexpr int kShift = 33;
  value = (value ^ (value >> kShift)) * kFirstFactor;
  value = (value ^ (value >> kShift)) * kSecondFactor;
  return value ^ (value >> kShift);
}

/// 64-bit FNV-1a, mixed; the same in every program and on every machine.
uint64_t hash(const std::string& text) {
  constexpr uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr uint64_t kPrime = 0x100000001b3;
  uint64_t value = kOffsetBasis;
  for (const char character : text) value = (value ^ static_cast<unsigned char>(character)) * kPrime;
  return mix(value);
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
  ordered.reserve(replicas.size());
  for (const auto& replica : replicas)
    ordered.push_back({replica, has_recent_status(replica.name) && !is_suspected(replica.name, now),
                       hash(replica.name + "\n" + resource)});
  std::sort(ordered.begin(), ordered.end(), goes_first);
  std::vector<consensus::Replica> result;
  result.reserve(ordered.size());
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
