// The limits over the whole fleet: retries, connections and the rate of an origin.
#include "limits/connection_share.hpp"
#include "limits/demand_share_tracker.hpp"
#include "limits/limit_counters.hpp"
#include "limits/rate_limiter.hpp"
#include "limits/rate_quotas.hpp"
#include "limits/retry_budget.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
// Only advances when the test sets it.
struct ManualClock final : base::Clock {
  TimePoint time{1000000};
  TimePoint now() override { return time; }
  int64_t wall_ms() override { return 0; }
  void sleep(Duration) override {}
};

using WrittenQuotas = std::vector<std::pair<Duration, pb::RateQuotas>>;  // with the times of the writes

// Each node uses some version no older than the bound; returns its largest quota among these.
uint32_t worst_quota(const WrittenQuotas& written, const std::string& node, Duration now) {
  uint32_t worst = 0;
  for (size_t k = 0; k < written.size(); ++k) {
    bool last_before = k + 1 == written.size() || written[k + 1].first > now - Duration(2000);
    if (!last_before) continue;
    auto quota = written[k].second.milli_requests().find(node);
    if (quota != written[k].second.milli_requests().end()) worst = std::max(worst, quota->second);
  }
  return worst;
}

// Nodes follow a write with different delays of up to a bound: the sum of the quotas in use must never exceed
// the rate.
void shares_never_exceed() {
  int64_t rate = *rc::gen::inRange(2, 200);
  pb::RateQuotas quotas;
  WrittenQuotas written;
  Duration now{0}, decreased_at{0};
  for (int draw : *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 1000))) {
    now += Duration(200 + draw % 900);
    limits::QuotaInput input;
    input.rate = rate;
    input.since_decrease = now - decreased_at;
    for (int i = 0; i < 6; ++i)
      if ((draw + i) % 7) input.demand[std::string(1, static_cast<char>('a' + i))] = (draw * (i + 3)) % 50;
    auto step = limits::next_quotas(quotas, input);
    if (step.change == limits::QuotaChange::decreased) decreased_at = now;
    if (step.change != limits::QuotaChange::none) written.emplace_back(now, step.quotas);
    quotas = step.quotas;
    uint64_t sum = 0;
    for (auto& [node, demand] : input.demand) sum += worst_quota(written, node, now);
    RC_ASSERT(sum <= static_cast<uint64_t>(rate) * 1000);
    auto count = static_cast<double>(quotas.milli_requests_size());
    double all = 0;
    for (auto& [node, quota] : quotas.milli_requests()) all += quota / 1000.0;
    RC_ASSERT(all * 5 + count <= static_cast<double>(rate) * 5.5 + 1);
  }
}

void retries_stay_within_budget() {
  ManualClock clock;
  limits::RetryBudget budget;
  std::vector<std::pair<TimePoint, bool>> all;
  for (int draw : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1000))) {
    clock.time += Duration(draw % 200);
    if (draw % 3) {
      budget.record_request("s");
      all.emplace_back(clock.time, false);
    } else if (budget.try_acquire("s", 2)) {
      all.emplace_back(clock.time, true);
    }
    size_t retries = 0, requests = 0;
    for (auto& [at, is_retry] : all)
      if (at > clock.time - Duration(10000)) (is_retry ? retries : requests)++;
    RC_ASSERT(retries <= requests / 5 + 2);
  }
}

void allowances_never_exceed() {
  int allowance = *rc::gen::inRange(0, 200), nodes = *rc::gen::inRange(1, 129), sum = 0;
  for (int i = 0; i < nodes; ++i) sum += limits::retry_allowance_of_node(allowance, {nodes, i});
  RC_ASSERT(sum <= allowance);
  RC_ASSERT(sum >= allowance * 3 / 4 - 1);
}

/// The shares of nodes that send the given numbers of requests.
std::vector<limits::DemandShare> shares_of(const std::vector<int>& demand) {
  double total = 0, before = 0;
  for (int requests : demand) total += requests;
  std::vector<limits::DemandShare> shares;
  for (int requests : demand) {
    shares.push_back({before / total, requests / total});
    before += requests;
  }
  return shares;
}

// For any demand, the shares add up to the allowance, and the node with the highest demand gets the most.
void allowances_follow_demand() {
  const int allowance = *rc::gen::inRange(0, 400);
  auto demand = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
  demand.push_back(100);
  const int nodes = static_cast<int>(demand.size());
  const auto shares = shares_of(demand);
  int retries = 0, whole = 0, largest = 0;
  for (int rank = 0; rank < nodes; ++rank) {
    const limits::AllowanceParticipant participant{nodes, rank, shares[static_cast<size_t>(rank)]};
    whole += limits::allowance_of_node(allowance, participant);
    retries += limits::retry_allowance_of_node(allowance, participant);
    largest = std::max(largest, limits::retry_allowance_of_node(allowance, participant));
  }
  RC_ASSERT(whole == allowance * 3 / 4);
  RC_ASSERT(retries == allowance * 3 / 4);
  RC_ASSERT(limits::retry_allowance_of_node(allowance, {nodes, nodes - 1, shares.back()}) + 1 >= largest);
}

// With a cap close to the number of nodes an even split gives each node one connection; the four that send
// need more.
void connections_follow_demand() {
  constexpr int kCap = 86, kNodes = 87, kSenders = 4;
  limits::ConnectionDemand demand{kCap, 2, 2, kNodes, 1.0 / kSenders};
  const int of_sender = limits::connections_of_node(demand);
  expect(of_sender >= 15 && of_sender * kSenders < kCap,
         fmt::format("{} connections of a sender", of_sender));
  demand.share = 0;
  same(limits::connections_of_node(demand), 1, "connections of a node that sends nothing");
  demand.share.reset();
  same(limits::connections_of_node(demand), 1, "connections while the demand is not known");
}

// Each node uses 11 of 78 instances, so an instance has about twelve users and not 87.
void connections_go_to_users_of_an_instance() {
  constexpr int kCap = 86, kNodes = 87;
  constexpr size_t kInstances = 78, kUsed = 11;
  const limits::ConnectionDemand demand{kCap, kInstances, kUsed, kNodes, 1.0 / kNodes};
  const int each = limits::connections_of_node(demand);
  constexpr int kMostUsers = 24;  // mean plus three standard deviations
  expect(each >= 3 && each * kMostUsers <= kCap, fmt::format("{} connections of each user", each));
}

pb::NodeStatus status_with_demand(const std::string& service, uint64_t requests) {
  pb::NodeStatus status;
  status.mutable_node()->set_zone("a");
  auto* demand = status.add_demands();
  demand->set_service(service);
  demand->set_requested(requests);
  return status;
}

// A share that falls is used at once; one that rises is used only when all other nodes have learned of it.
void demand_shares_rise_late() {
  constexpr Duration kBound{2000};
  limits::DemandShareTracker shares("n1", kBound);
  TimePoint now{1000};
  uint64_t own = 0, other = 0;
  const auto step = [&](uint64_t own_requests, uint64_t other_requests) {
    now += kBound / 2;
    shares.observe({{"n1", status_with_demand("s", own += own_requests)},
                    {"n2", status_with_demand("s", other += other_requests)}},
                   now);
    return shares.usable();
  };
  expect(!step(0, 0).count("s"), "a share was returned before demand is known");
  for (int i = 0; i < 4; ++i) step(10, 90);
  const double low = step(10, 90).at("s").share;
  expect(low > 0.05 && low < 0.15, fmt::format("a share of {}", low));
  expect(step(900, 90).at("s").share <= low + 0.001, "an increased share was used at once");
  for (int i = 0; i < 4; ++i) step(900, 90);
  const double high = step(900, 90).at("s").share;
  expect(high > 0.7, fmt::format("a share of {} after a bound", high));
  expect(step(0, 900).at("s").share < high - 0.1, "a decreased share was kept");
}

/// The estimate for relays and one shield in a fleet of this many nodes before any request.
limits::DemandByNode first_demand(int nodes) {
  limits::DemandEstimator::Statuses statuses{{"shield", status_with_demand("s", 0)}};
  statuses["shield"].mutable_node()->set_shield(true);
  statuses["shield"].mutable_node()->set_ready(true);
  for (int i = 1; i < nodes; ++i) statuses[fmt::format("relay-{}", i)] = status_with_demand("s", 0);
  limits::DemandEstimator estimator;
  estimator.observe("s", statuses, 1, TimePoint(1000));
  return estimator.estimate("s", statuses, {}, {100, Duration(2000), TimePoint(1000)});
}

// A shield of a small fleet is idle; if the rate were reserved for it, the first seconds of traffic would be
// rejected.
void shields_are_expected_to_be_asked_where_they_fetch() {
  const auto small = first_demand(limits::kMinNodesForShields - 1);
  same(small.at("shield"), small.at("relay-1"), "expected demand at the shield of a small fleet");
  const auto large = first_demand(limits::kMinNodesForShields);
  expect(large.at("shield") > large.at("relay-1"), "no demand expected at the shield of a large fleet");
}

void limits_count_what_they_grant() {
  limits::LimitCounters counters;
  counters.record_rate("s", true, 5);
  counters.record_rate("s", false, 100);
  counters.record_retry("s", false);
  counters.record_connection_wait("s", true);
  counters.record_connection_wait("s", false);
  const auto counts = counters.counts().at("s");
  same(counts.rate_granted, uint64_t{1}, "granted by the rate");
  same(counts.rate_denied, uint64_t{1}, "denied by the rate");
  same(counts.rate_wait_ms, uint64_t{105}, "waited for the rate");
  same(counts.retries_denied, uint64_t{1}, "retries denied");
  same(counts.connection_waits, uint64_t{2}, "waits for a connection");
  same(counts.connections_denied, uint64_t{1}, "connections denied");
}

void new_process_has_no_retries() {
  limits::RetryBudget budget;
  for (int i = 0; i < 4; ++i) budget.record_request("s");
  expect(!budget.try_acquire("s", 2), "four requests earned a retry");
  budget.record_request("s");
  budget.record_request("s");
  expect(budget.try_acquire("s", 2) && !budget.try_acquire("s", 2),
         "six requests must earn exactly one retry");
}

void reservations_expire() {
  ManualClock clock;
  limits::RateLimiter limiter(clock);
  auto reserve = [&](double share) {
    return std::get<limits::RateReservation>(limiter.reserve("s", share, Duration(60000)));
  };
  auto first = reserve(10);
  expect(first.wait == Duration(100), "a new process must wait a whole interval");
  clock.time += first.wait;
  expect(limiter.is_valid(first, 10) && limiter.is_valid(first, 20) && !limiter.is_valid(first, 5),
         "validity under the same, a higher and a lower quota");
  clock.time += Duration(150);
  expect(!limiter.is_valid(first, 10), "a missed slot is still valid");
}

void rate_is_never_exceeded() {
  ManualClock clock;
  limits::RateLimiter limiter(clock);
  double share = *rc::gen::inRange(1, 50);
  std::vector<int64_t> at;
  for (int draw : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100))) {
    clock.time += Duration(draw);
    auto result = limiter.reserve("s", share, Duration(500));
    if (auto* reservation = std::get_if<limits::RateReservation>(&result))
      at.push_back((clock.time + reservation->wait).count());
  }
  std::sort(at.begin(), at.end());
  for (size_t i = 0, j = 0; i < at.size(); ++i) {
    while (at[j] <= at[i] - 1000) ++j;
    RC_ASSERT(static_cast<double>(i - j + 1) <= share + 2);
  }
}
}  // namespace

std::vector<Case> limits_cases() {
  return {
      property("budget: retries stay within a fifth of the requests plus the allowance in any ten seconds",
               retries_stay_within_budget),
      property("budget: the shares of all nodes together never exceed the allowance",
               allowances_never_exceed),
      property("budget: shares by demand add up to the allowance", allowances_follow_demand),
      {"connections: follow the demand of the nodes", connections_follow_demand},
      {"connections: are divided among the users of an instance", connections_go_to_users_of_an_instance},
      {"demand: an increased share is used a bound later", demand_shares_rise_late},
      {"demand: shields are expected to have demand in fleets where they fetch",
       shields_are_expected_to_be_asked_where_they_fetch},
      {"limits: what was granted and denied is counted", limits_count_what_they_grant},
      {"budget: a new process has no saved-up retries", new_process_has_no_retries},
      {"budget: a reservation is invalid once its slot is missed or the quota has fallen",
       reservations_expire},
      property("budget: no second has more requests than the rate limit and one", rate_is_never_exceeded),
      property("quotas: nodes together never exceed the rate, however late they learn of a change",
               shares_never_exceed),
  };
}

}  // namespace dunlinwing::test
