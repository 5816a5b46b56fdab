// The heartbeats that a node reports to the fleet.
#include "node/heartbeat_table.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kBound{2000};
constexpr TimePoint kStart{1000000};
constexpr uint32_t kPeriodMs = 500;

pb::Heartbeat heartbeat(uint64_t sequence, const std::string& version = "v1") {
  pb::Heartbeat made;
  made.set_instance("i-1");
  made.set_service("shop");
  made.set_version(version);
  made.set_address("10.0.0.1:80");
  made.set_sequence(sequence);
  made.set_period_ms(kPeriodMs);
  return made;
}

pb::NodeStatus report(node::HeartbeatTable& table, TimePoint now) {
  pb::NodeStatus status;
  table.report(now, status);
  return status;
}

void recognises_repeated_heartbeats() {
  node::HeartbeatTable table(kBound);
  expect(!table.record(heartbeat(1), kStart), "the first heartbeat was taken for a repeated one");
  expect(table.record(heartbeat(2), kStart),
         "the second heartbeat, with the same content, was taken for a new one");
  expect(!table.record(heartbeat(3, "v2"), kStart),
         "a heartbeat with another version was taken for a repeated one");
  auto leaving = heartbeat(4, "v2");
  leaving.set_leaving(true);
  expect(!table.record(leaving, kStart), "a heartbeat that announces leaving was taken for a repeated one");
}

void reports_ages_and_counts() {
  node::HeartbeatTable table(kBound);
  table.record(heartbeat(1), kStart);
  table.count(true);
  table.count(true);
  table.count(false);
  const auto status = report(table, kStart + Duration(300));
  same(status.heartbeats_size(), 1, "heartbeats");
  same(status.heartbeats(0).age_ms(), uint64_t{300}, "age");
  same(status.heartbeats_accepted(), uint64_t{2}, "accepted");
  same(status.heartbeats_rejected(), uint64_t{1}, "rejected");
}

void stores_the_highest_sequence_number() {
  node::HeartbeatTable table(kBound);
  table.record(heartbeat(5, "v2"), kStart);
  table.record(heartbeat(4, "v1"), kStart + Duration(100));
  const auto status = report(table, kStart + Duration(100));
  same(status.heartbeats(0).version(), std::string("v2"), "version");
  same(status.heartbeats(0).age_ms(), uint64_t{100}, "age of the stored heartbeat");
}

void stays_leaving() {
  node::HeartbeatTable table(kBound);
  auto leaving = heartbeat(1);
  leaving.set_leaving(true);
  table.record(leaving, kStart);
  table.record(heartbeat(2), kStart);
  expect(report(table, kStart).heartbeats(0).leaving(), "a later heartbeat cleared the leaving state");
}

void removes_expired_heartbeats() {
  node::HeartbeatTable table(kBound);
  table.record(heartbeat(1), kStart);
  const auto last = kStart + Duration(kPeriodMs) * 20 + kBound * 10;
  same(report(table, last).heartbeats_size(), 1, "heartbeats at the end of the reported time");
  same(report(table, last + Duration(1)).heartbeats_size(), 0, "heartbeats after the reported time");
  expect(!table.record(heartbeat(2), last + Duration(1)),
         "a heartbeat of a removed instance was taken for a repeated one");
}
}  // namespace

std::vector<Case> heartbeat_table_cases() {
  return {
      {"heartbeat table: a heartbeat with the same content is recognised as repeated",
       recognises_repeated_heartbeats},
      {"heartbeat table: ages and counts are reported", reports_ages_and_counts},
      {"heartbeat table: the highest sequence number counts", stores_the_highest_sequence_number},
      {"heartbeat table: an instance that leaves stays leaving", stays_leaving},
      {"heartbeat table: heartbeats that are too old are no longer reported", removes_expired_heartbeats},
  };
}

}  // namespace dunlinwing::test
