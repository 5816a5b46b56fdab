/// @file
/// What operations on registers cost: rounds, lost ballots, and the time in each phase. Distinguishes
/// proposers that compete (many lost ballots) from slow replicas or links (long phases, few lost ballots).
///
/// Threads: used by the control thread only.
#pragma once
#include <array>

#include "base/common.hpp"

namespace dunlinwing::consensus {

enum class OperationType { read, write, rewrite };
inline constexpr std::array kOperationTypes{OperationType::read, OperationType::write,
                                            OperationType::rewrite};

/// The name of the type in metrics and log lines.
const char* label(OperationType type);

/// The phases of an operation, in the order in which a round goes through them.
enum class OperationPhase { read, prepare, accept, backoff };
inline constexpr std::array kOperationPhases{OperationPhase::read, OperationPhase::prepare,
                                             OperationPhase::accept, OperationPhase::backoff};

/// The name of the phase in metrics and log lines.
const char* label(OperationPhase phase);

/// One operation on one register.
struct OperationTrace {
  uint64_t rounds = 0;                 ///< proposals that were begun
  uint64_t lost_ballots = 0;           ///< proposals that a quorum answered and that were not chosen
  uint64_t rounds_without_quorum = 0;  ///< proposals that no quorum of voting replicas answered
  std::array<Duration, kOperationPhases.size()> phase_times{};

  Duration& time(OperationPhase phase) { return phase_times[static_cast<size_t>(phase)]; }
  Duration time(OperationPhase phase) const { return phase_times[static_cast<size_t>(phase)]; }
  Duration total_time() const;
  /// The trace as text for a log line.
  std::string text() const;
};

/// Sums over all operations of one type since the start.
struct OperationTotals {
  uint64_t operations = 0;
  OperationTrace sum;

  void add(const OperationTrace& trace);
};

using TotalsByOperation = std::array<OperationTotals, kOperationTypes.size()>;

}  // namespace dunlinwing::consensus
