#include "control_api/purge_writer.hpp"

#include <algorithm>

namespace dunlinwing::control_api {
namespace {
// Per service, before the older half is merged; bounds the register to a few kilobytes.
constexpr int kMaxPurges = 128;

bool same_target(const pb::Purge& left, const pb::Purge& right) {
  return left.kind() == right.kind() && left.path() == right.path() && left.host() == right.host();
}

/// Whether the newer purge makes the older one superfluous.
bool covers(const pb::Purge& newer, const pb::Purge& older) {
  if (newer.number() < older.number() || (!newer.host().empty() && newer.host() != older.host()))
    return false;
  if (newer.kind() == purge_kind::kService) return true;
  if (newer.kind() == purge_kind::kPathPrefix &&
      (older.kind() == purge_kind::kPathPrefix || older.kind() == purge_kind::kPath))
    return older.path().starts_with(newer.path());
  return newer.kind() == older.kind() && newer.path() == older.path();
}

template <class Predicate>
void erase_purges(pb::PurgeSet& purges, Predicate predicate) {
  auto* list = purges.mutable_purges();
  list->erase(std::remove_if(list->begin(), list->end(), predicate), list->end());
}

/// Replaces the older half with one purge of the whole service.
void merge_older_half(pb::PurgeSet& purges) {
  std::vector<uint64_t> numbers;
  for (const auto& purge : purges.purges()) numbers.push_back(purge.number());
  auto middle = numbers.begin() + kMaxPurges / 2;
  std::nth_element(numbers.begin(), middle, numbers.end());
  pb::Purge merged;
  merged.set_kind(std::string(purge_kind::kService));
  merged.set_number(*middle);
  erase_purges(purges, [&](const pb::Purge& purge) { return purge.number() <= merged.number(); });
  *purges.add_purges() = merged;
}
}  // namespace

PurgeResult add_purge(pb::PurgeSet& purges, const pb::Purge& purge) {
  for (const auto& known : purges.purges())
    if (!purge.name().empty() && known.name() == purge.name())
      return {known.number(), true, !same_target(known, purge)};
  purges.set_number(purges.number() + 1);
  pb::Purge added = purge;
  added.set_number(purges.number());
  erase_purges(purges, [&](const pb::Purge& older) { return covers(added, older); });
  *purges.add_purges() = added;
  if (purges.purges_size() > kMaxPurges) merge_older_half(purges);
  return {purges.number(), false, false};
}

std::variant<PurgeResult, consensus::UpdateError> write_purge(consensus::RegisterUpdater& updater,
                                                              const std::string& service,
                                                              const pb::Purge& purge, TimePoint deadline) {
  PurgeResult added;
  consensus::RegisterUpdate update;
  update.deadline = deadline;
  update.apply = [&](const consensus::VersionedValue& stored) -> std::optional<std::string> {
    pb::PurgeSet purges;
    purges.ParseFromString(stored.data);
    added = add_purge(purges, purge);
    return added.existed ? std::nullopt : std::optional(purges.SerializeAsString());
  };
  const auto result = updater.update(std::string(kPurgePrefix) + service, update);
  if (const auto* error = as<consensus::UpdateError>(result)) return *error;
  return added;
}

}  // namespace dunlinwing::control_api
