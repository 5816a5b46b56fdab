// The bounds over the whole fleet: retries, and the rate of an origin.
#include "limits/rate_limiter.hpp"
#include "limits/rate_quotas.hpp"
#include "limits/retry_budget.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
// Stands until it is set.
struct ManualClock final : base::Clock {
  TimePoint time{1000000};
  TimePoint now() override { return time; }
  int64_t wall_ms() override { return 0; }
  void sleep(Duration) override {}
};

using WrittenQuotas = std::vector<std::pair<Duration, pb::RateQuotas>>;  // with when they were written

// Each node uses some version no older than the bound, at worst for the sum.
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

// Nodes follow what is written up to a bound late, each in its own time: at no moment may what they use
// together exceed the rate.
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
  for (int i = 0; i < nodes; ++i) sum += limits::retry_allowance_of_node(allowance, nodes, i);
  RC_ASSERT(sum <= allowance);
  RC_ASSERT(sum >= allowance * 3 / 4 - 1);
}

void new_process_has_no_retries() {
  limits::RetryBudget budget;
  for (int i = 0; i < 4; ++i) budget.record_request("s");
  expect(!budget.try_acquire("s", 2), "four requests earned a repeat");
  budget.record_request("s");
  budget.record_request("s");
  expect(budget.try_acquire("s", 2) && !budget.try_acquire("s", 2), "five requests earn one repeat");
}

void reservations_expire() {
  ManualClock clock;
  limits::RateLimiter limiter(clock);
  auto reserve = [&](double share) {
    return std::get<limits::RateReservation>(limiter.reserve("s", share, Duration(60000)));
  };
  auto first = reserve(10);
  expect(first.wait == Duration(100), "a new process waits a whole interval");
  clock.time += first.wait;
  expect(limiter.is_valid(first, 10) && limiter.is_valid(first, 20) && !limiter.is_valid(first, 5),
         "a fallen share");
  clock.time += Duration(150);
  expect(!limiter.is_valid(first, 10), "a missed turn");
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
      property("budget: repeats stay within a fifth and the allowance in any ten seconds",
               retries_stay_within_budget),
      property("budget: the parts of all relays together are never more than the allowance",
               allowances_never_exceed),
      {"budget: a process that starts has no repeats saved up", new_process_has_no_retries},
      {"budget: a turn does not stand once it is missed or the share has fallen", reservations_expire},
      property("budget: a pace never lets a second hold more than its share and one", rate_is_never_exceeded),
      property("shares: relays together never exceed the rate, however late they hear", shares_never_exceed),
  };
}

}  // namespace dunlinwing::test
