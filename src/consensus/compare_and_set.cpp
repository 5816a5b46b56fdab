#include "consensus/compare_and_set.hpp"

#include <algorithm>

namespace dunlinwing::consensus {
namespace {
constexpr int kEarlierWriteIds = 8;  // write identifiers of earlier writes in a value
}

pb::Value CompareAndSet::next_value(const pb::Value& current) {
  if (contains_this_write(current) || current.version() != expected_version_) return current;
  proposed_ = true;
  pb::Value next;
  next.set_version(expected_version_ + 1);
  next.set_data(data_);
  next.set_write_id(write_id_);
  if (!current.write_id().empty()) next.add_earlier_write_ids(current.write_id());
  for (const auto& earlier : current.earlier_write_ids()) {
    if (next.earlier_write_ids_size() >= kEarlierWriteIds) break;
    next.add_earlier_write_ids(earlier);
  }
  return next;
}

std::optional<WriteResult> CompareAndSet::result_for(const pb::Value& current) const {
  if (contains_this_write(current)) return VersionedValue{expected_version_ + 1, data_};
  if (current.version() == expected_version_) return {};
  // After this many later writes, the identifiers no longer show whether this write was one of them.
  if (proposed_ && current.version() > expected_version_ + kEarlierWriteIds)
    return RegisterError::outcome_unknown;
  return VersionConflict{{current.version(), current.data()}};
}

bool CompareAndSet::contains_this_write(const pb::Value& value) const {
  const auto& earlier = value.earlier_write_ids();
  return value.write_id() == write_id_ ||
         std::find(earlier.begin(), earlier.end(), write_id_) != earlier.end();
}

}  // namespace dunlinwing::consensus
