#include "proxy/rejection.hpp"

#include <iterator>

namespace dunlinwing::proxy {
namespace {
struct ReasonTexts {
  const char* label;
  const char* description;
};

// In the order of the enumerators.
constexpr ReasonTexts kTexts[] = {
    {"none", "it was not rejected"},
    {"draining", "this node is draining"},
    {"not_ready", "this node is not ready"},
    {"body_too_long", "the body is longer than the configuration allows"},
    {"no_route", "no route leads there"},
    {"method_not_allowed", "no route takes this method"},
    {"no_weight", "no service of this route has any weight"},
    {"queue_full", "the admission queue is full"},
    {"deadline_unreachable", "its deadline cannot be met"},
    {"deadline_passed", "its deadline has passed"},
    {"rate_limited", "the origin's rate is used up"},
    {"retry_budget_spent", "the retry budget is used up"},
    {"superseded", "a newer configuration is in force"},
    {"latency_target_missed", "its latency target is out of reach here"},
    {"stale_state", "what this node knows is too old"},
    {"no_instance", "no instance of an allowed version is known"},
    {"unreachable", "no instance could be reached"},
    {"declined", "an instance said that it did not run it, and no other took it"},
    {"no_response", "no complete response came"},
    {"attempts_spent", "as many backend instances as allowed had it"},
    {"invalid_response", "the response was not the instance's own complete one"},
    {"fetch_rejected", "the origin has no room for what it asks"},
    {"shield_rejected", "the origin has no room for it"},
    {"link_saturated", "this node's link cannot carry it in time"},
    {"memory_short", "this node has no memory for the response"},
    {"earlier_attempt", "an earlier way may have had it run"},
};
static_assert(std::size(kTexts) == static_cast<size_t>(RejectionReason::earlier_attempt) + 1);

const ReasonTexts& texts(RejectionReason reason) { return kTexts[static_cast<size_t>(reason)]; }
}  // namespace

const char* describe(RejectionReason reason) { return texts(reason).description; }
const char* label(RejectionReason reason) { return texts(reason).label; }

void RejectionCounters::record(const RejectionKey& key) {
  const std::lock_guard lock(mutex_);
  ++counts_[key];
}

std::map<RejectionKey, uint64_t> RejectionCounters::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

void RejectionCounters::retain_routes(const std::set<std::string>& labels) {
  const std::lock_guard lock(mutex_);
  std::map<RejectionKey, uint64_t> retained;
  for (const auto& [key, count] : counts_) {
    const bool in_force = labels.count(key.route) > 0;
    retained[{key.reason, key.service, in_force ? key.route : std::string()}] += count;
  }
  counts_ = std::move(retained);
}

}  // namespace dunlinwing::proxy
