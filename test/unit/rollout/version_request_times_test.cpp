// When a version rollout was requested, for a leader whose process began during it.
#include "rollout/version_request_times.hpp"

#include "rollout/service_state.hpp"
#include "rollout/version_rollout_observer.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;

constexpr Duration kBound = 2000ms;
constexpr TimePoint kRequested = 100'000ms;
constexpr TimePoint kStart = 106'000ms;  // of the leader's process
constexpr uint64_t kHeldMs = 4500;       // recorded, and 1.5 s behind
constexpr uint64_t kNumber = 7;

pb::ServiceState running_rollout() {
  pb::ServiceState state;
  state.set_canary("2");
  state.set_canary_number(kNumber);
  state.set_deadline_ms(16000);
  state.set_held_ms(kHeldMs);
  return state;
}

void request_is_between_two_pulls() {
  rollout::VersionRequestTimes times;
  times.update(99'900ms, {{"app", {}}});
  times.update(100'100ms, {{"app", running_rollout()}});
  times.update(100'300ms, {{"app", running_rollout()}});
  expect(times.requested_at("app", kNumber) == kRequested, "it is not half-way between two pulls");
  expect(!times.requested_at("app", kNumber + 1), "the time of another rollout is known");
  times.update(100'500ms, {{"app", {}}});
  expect(!times.requested_at("app", kNumber), "the time of a rollout that has ended is kept");
  rollout::VersionRequestTimes began_later;
  began_later.update(100'300ms, {{"app", running_rollout()}});
  pb::NodeStatus status;
  began_later.report(100'400ms, status);
  expect(status.rollout_ages().empty(), "a node reports a time that it does not know");
}

using Statuses = std::map<std::string, pb::NodeStatus>;

/// Of a node that has seen the request, as received some time after it was sent.
Statuses reports_at(TimePoint now, Duration status_age) {
  rollout::VersionRequestTimes times;
  times.update(kRequested - 100ms, {});
  times.update(kRequested + 100ms, {{"app", running_rollout()}});
  Statuses statuses;
  times.report(now - status_age, statuses["e1"]);
  statuses["e1"].set_age_ms(static_cast<uint64_t>(status_age.count()));
  return statuses;
}

/// A leader whose process began during the rollout.
struct LateLeader {
  rollout::VersionRolloutObserver observer{kBound};
  membership::ChosenValues chosen;

  LateLeader() { chosen[rollout::service_key("app")] = {1, running_rollout().SerializeAsString()}; }

  Duration since_requested(TimePoint now, const Statuses& statuses) {
    observer.update(now, now, chosen, statuses, {});
    rollout::VersionRolloutObservation observation;
    observer.fill_observation(now, "app", running_rollout(), observation);
    return observation.since_requested;
  }
};

// Guards against: after all processes of the core had ended at once, the new leader took up to three bounds
// too much for elapsed, and sent all requests to the new version that much too early.
void late_leader_learns_it_from_others() {
  LateLeader leader;
  expect(leader.since_requested(kStart, {}) == Duration(kHeldMs), "not the recorded time at first");
  expect(leader.since_requested(kStart + 300ms, reports_at(kStart + 300ms, 200ms)) ==
             kStart + 300ms - kRequested,
         "the reported time is not used");
  expect(leader.since_requested(kStart + 5s, {}) == kStart + 5s - kRequested,
         "the reported time is forgotten");
}

// The deadline has to hold then.
void without_reports_the_longest_time_is_assumed() {
  LateLeader leader;
  leader.since_requested(kStart, {});
  same(leader.since_requested(kStart + kBound - 1ms, {}).count(), Duration(kHeldMs + 1999).count(),
       "within a bound");
  same(leader.since_requested(kStart + kBound, {}).count(), (Duration(kHeldMs) + kBound + 3 * kBound).count(),
       "after a bound");
}
}  // namespace

std::vector<Case> version_request_time_cases() {
  return {{"moves: a request is taken to have come between two pulls", request_is_between_two_pulls},
          {"moves: a leader that began during a rollout learns from others when it was requested",
           late_leader_learns_it_from_others},
          {"moves: a leader that nobody tells assumes the longest time",
           without_reports_the_longest_time_is_assumed}};
}

}  // namespace dunlinwing::test
