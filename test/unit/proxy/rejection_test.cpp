// Rejection counts by reason, route and service, which must not grow as routes are added and removed.
#include "proxy/rejection.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using proxy::RejectionReason;

void counts_by_reason_and_route() {
  proxy::RejectionCounters counters;
  counters.record({RejectionReason::rate_limited, "app", "/a/"});
  counters.record({RejectionReason::rate_limited, "app", "/a/"});
  counters.record({RejectionReason::rate_limited, "app", "/b/"});
  counters.record({RejectionReason::queue_full, "app", "/a/"});
  const auto counts = counters.counts();
  same(counts.at({RejectionReason::rate_limited, "app", "/a/"}), uint64_t{2}, "by reason, service and route");
  same(counts.size(), size_t{3}, "kinds of rejections");
}

void forgets_names_of_routes() {
  proxy::RejectionCounters counters;
  constexpr int kRoutes = 300;
  for (int route = 0; route < kRoutes; ++route) {
    const auto name = fmt::format("/added-{}/", route);
    counters.record({RejectionReason::rate_limited, "app", name});
    counters.retain_routes({name});
  }
  const auto counts = counters.counts();
  same(counts.size(), size_t{2}, "kinds of rejections after many routes");
  same(counts.at({RejectionReason::rate_limited, "app", ""}), uint64_t{kRoutes - 1},
       "the count of removed routes");
}

void each_reason_has_its_label() {
  std::set<std::string> labels;
  const int last = static_cast<int>(RejectionReason::earlier_attempt);
  for (int reason = 0; reason <= last; ++reason)
    labels.insert(proxy::label(static_cast<RejectionReason>(reason)));
  same(labels.size(), static_cast<size_t>(last) + 1, "labels");
}
}  // namespace

std::vector<Case> rejection_cases() {
  return {{"rejections: are counted by reason, service and route", counts_by_reason_and_route},
          {"rejections: counters do not grow with past routes", forgets_names_of_routes},
          {"rejections: each reason has a distinct label", each_reason_has_its_label}};
}

}  // namespace dunlinwing::test
