#include "consensus/operation_totals.hpp"

#include <fmt/format.h>

#include <numeric>

namespace dunlinwing::consensus {

const char* label(OperationType type) {
  switch (type) {
    case OperationType::read:
      return "read";
    case OperationType::write:
      return "write";
    case OperationType::rewrite:
      return "rewrite";
  }
  return "";
}

const char* label(OperationPhase phase) {
  switch (phase) {
    case OperationPhase::read:
      return "read";
    case OperationPhase::prepare:
      return "prepare";
    case OperationPhase::accept:
      return "accept";
    case OperationPhase::backoff:
      return "backoff";
  }
  return "";
}

Duration OperationTrace::total_time() const {
  return std::accumulate(phase_times.begin(), phase_times.end(), Duration(0));
}

std::string OperationTrace::text() const {
  std::string times;
  for (const auto phase : kOperationPhases)
    times += fmt::format(" {} {} ms,", label(phase), time(phase).count());
  times.pop_back();
  return fmt::format("{} rounds, {} lost ballots, {} without a quorum;{}", rounds, lost_ballots,
                     rounds_without_quorum, times);
}

void OperationTotals::add(const OperationTrace& trace) {
  ++operations;
  sum.rounds += trace.rounds;
  sum.lost_ballots += trace.lost_ballots;
  sum.rounds_without_quorum += trace.rounds_without_quorum;
  for (const auto phase : kOperationPhases) sum.time(phase) += trace.time(phase);
}

}  // namespace dunlinwing::consensus
