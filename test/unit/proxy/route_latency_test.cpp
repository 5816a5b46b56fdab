// Estimates by route, and what renews them when every request is refused.
#include "proxy/route_latency.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;
using proxy::RouteLatency;
constexpr Duration kSlow{10000};
constexpr Duration kFast{10};

struct Estimates {
  RouteLatency latency;
  TimePoint now{5s};

  std::optional<Duration> of(const std::string& route, Duration at_instance = kSlow,
                             Duration of_service = kSlow) {
    return latency.estimate("s", route, at_instance, of_service, now);
  }
  void record(const std::string& route, Duration sample) { latency.record("s", route, sample, now); }
};

void one_slow_route_is_not_the_others() {
  Estimates estimates;
  expect(!estimates.of("fast"), "a route without a sample has no estimate");
  estimates.record("slow", kSlow);
  estimates.record("fast", kFast);
  expect(estimates.of("slow") == kSlow, "the estimate of the slow route");
  expect(estimates.of("fast") == kFast, "the estimate of the fast route");
  expect(estimates.of("fast", kSlow * 2) == kFast * 2, "the estimate at a slower instance");
}

void a_stale_estimate_lets_one_through_at_a_time() {
  Estimates estimates;
  estimates.record("slow", kSlow);
  estimates.now += RouteLatency::kFreshTime;
  expect(estimates.of("slow").has_value(), "a fresh estimate has its say");
  for (int i = 0; i < 3; ++i) {
    estimates.now += RouteLatency::kFreshTime + 1ms;
    expect(!estimates.of("slow"), "a stale estimate lets a request through");
    for (int more = 0; more < 100; ++more) expect(estimates.of("slow").has_value(), "no burst follows it");
  }
}

void a_sample_after_a_stale_estimate_replaces_it() {
  Estimates estimates;
  estimates.record("slow", kSlow);
  estimates.record("slow", kFast);
  expect(estimates.of("slow") > kSlow / 2, "a fresh estimate moves slowly");
  estimates.now += RouteLatency::kFreshTime + 1ms;
  estimates.record("slow", kFast);
  expect(estimates.of("slow") == kFast, "a stale one is replaced");
}

void routes_that_are_gone_are_forgotten() {
  Estimates estimates;
  estimates.record("slow", kSlow);
  estimates.record("fast", kFast);
  estimates.latency.retain_routes({"fast"});
  expect(!estimates.of("slow"), "the estimate of a route that is gone");
  expect(estimates.of("fast").has_value(), "the estimate of a route that stays");
}
}  // namespace

std::vector<Case> route_latency_cases() {
  return {{"route latency: one slow route is not the others", one_slow_route_is_not_the_others},
          {"route latency: a stale estimate lets one request through at a time",
           a_stale_estimate_lets_one_through_at_a_time},
          {"route latency: a sample after a stale estimate replaces it",
           a_sample_after_a_stale_estimate_replaces_it},
          {"route latency: routes that are gone are forgotten", routes_that_are_gone_are_forgotten}};
}

}  // namespace dunlinwing::test
