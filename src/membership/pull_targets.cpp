#include "membership/pull_targets.hpp"

#include <algorithm>

namespace dunlinwing::membership {
namespace {
constexpr int kPromptResponseMultiple = 3;  // of the usual response time
constexpr int kPatientQueryInterval = 4;    // of the queries of a silent replica, one in this many
}  // namespace

std::vector<size_t> PullTargets::order(const std::vector<consensus::Replica>& replicas,
                                       const StatusTable& statuses, TimePoint now) const {
  std::vector<size_t> order, own;
  for (const auto& replica : first_.candidates(replicas, statuses, node_name_, now)) {
    const auto found = std::find(replicas.begin(), replicas.end(), replica);
    auto& indices = has_replica_ && replica.name == node_name_ ? own : order;
    indices.push_back(static_cast<size_t>(found - replicas.begin()));
  }
  order.insert(order.end(), own.begin(), own.end());
  return order;
}

void PullTargets::prefer_responsive(const std::vector<consensus::Replica>& replicas,
                                    std::vector<size_t>& indices) const {
  std::stable_partition(indices.begin(), indices.end(),
                        [&](size_t index) { return silent_queries(replicas[index].name) == 0; });
}

Duration PullTargets::prompt_response_limit() const {
  return std::clamp(usual_response_ * kPromptResponseMultiple, period_ / 4, period_);
}

Duration PullTargets::limit_for(const std::string& replica, Duration limit) const {
  const bool patient = silent_queries(replica) % kPatientQueryInterval == 0;
  return patient ? limit : std::min(limit, prompt_response_limit());
}

void PullTargets::record(const std::string& replica, bool responded) {
  auto& silent = silent_queries_[replica];
  silent = responded ? 0 : silent + 1;
}

void PullTargets::record_first(const std::string& replica, bool responded, Duration spent, TimePoint now) {
  usual_response_ = (usual_response_ * 3 + spent) / 4;
  if (responded)
    first_.record_success(replica);
  else
    first_.record_failure(replica, now);
}

int PullTargets::silent_queries(const std::string& replica) const {
  const auto found = silent_queries_.find(replica);
  return found == silent_queries_.end() ? 0 : found->second;
}

}  // namespace dunlinwing::membership
