#include "node/heartbeat_table.hpp"

namespace dunlinwing::node {
namespace {
// An instance is reported for this many heartbeat periods plus this many bounds after its last heartbeat:
// long after it counts as gone, so that a late report of another node does not revive it.
constexpr int kReportedPeriods = 20;
constexpr int kReportedBounds = 10;

bool has_same_content(const pb::Heartbeat& stored, const pb::Heartbeat& heartbeat) {
  return stored.sequence() > 0 && stored.address() == heartbeat.address() &&
         stored.service() == heartbeat.service() && stored.version() == heartbeat.version() &&
         stored.leaving() == heartbeat.leaving();
}
}  // namespace

bool HeartbeatTable::record(const pb::Heartbeat& heartbeat, TimePoint now) {
  Entry& entry = entries_[heartbeat.instance()];
  const bool same = has_same_content(entry.heartbeat, heartbeat);
  if (heartbeat.sequence() >= entry.heartbeat.sequence()) {
    const bool was_leaving = entry.heartbeat.leaving();
    entry = {heartbeat, now};
    if (was_leaving) entry.heartbeat.set_leaving(true);
  }
  return same;
}

void HeartbeatTable::report(TimePoint now, pb::NodeStatus& status) {
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const Duration reported =
        Duration(entry.heartbeat.period_ms()) * kReportedPeriods + bound_ * kReportedBounds;
    return now - entry.received > reported;
  });
  for (const auto& [instance, entry] : entries_) {
    pb::Heartbeat* reported = status.add_heartbeats();
    *reported = entry.heartbeat;
    reported->set_age_ms(static_cast<uint64_t>((now - entry.received).count()));
  }
  status.set_heartbeats_accepted(accepted_);
  status.set_heartbeats_rejected(rejected_);
}

}  // namespace dunlinwing::node
