#include "membership/replica_selector.hpp"

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

/// Better ones are greater.
enum class Availability { failed, unknown, able };

struct Candidate {
  consensus::Replica replica;
  Availability availability = Availability::unknown;
  uint64_t rank = 0;
};

bool goes_first(const Candidate& left, const Candidate& right) {
  if (left.availability != right.availability) return left.availability > right.availability;
  if (left.rank != right.rank) return left.rank > right.rank;
  return left.replica.name < right.replica.name;
}
}  // namespace

std::vector<consensus::Replica> ReplicaSelector::candidates(const std::vector<consensus::Replica>& replicas,
                                                            const StatusTable& statuses,
                                                            const std::string& key, TimePoint now) const {
  const Duration recent = bound_ * 3 / 4;  // a read lease's span: a status is reported several times in it
  auto availability = [&](const std::string& name) {
    if (has_failed(name, now)) return Availability::failed;
    return statuses.is_member(name, recent, now) ? Availability::able : Availability::unknown;
  };
  std::vector<Candidate> ordered;
  ordered.reserve(replicas.size());
  for (const auto& replica : replicas)
    ordered.push_back({replica, availability(replica.name), hash(replica.name + "\n" + key)});
  std::sort(ordered.begin(), ordered.end(), goes_first);
  std::vector<consensus::Replica> result;
  result.reserve(ordered.size());
  for (auto& candidate : ordered) result.push_back(std::move(candidate.replica));
  return result;
}

void ReplicaSelector::record_failure(const std::string& replica, TimePoint now) {
  failed_until_[replica] = now + bound_;
}

void ReplicaSelector::record_success(const std::string& replica) { failed_until_.erase(replica); }

bool ReplicaSelector::has_failed(const std::string& replica, TimePoint now) const {
  const auto found = failed_until_.find(replica);
  return found != failed_until_.end() && now < found->second;
}

}  // namespace dunlinwing::membership
