/// @file
/// An origin's stated rate, split into quotas by node. Pure: quotas fall at once and rise only when no node
/// can still be using what has fallen. So the quotas that are in use anywhere never exceed the rate together.
///
/// Each quota may be early by one request, so N quotas may be early by N in any five seconds. What is handed
/// out, and to how many nodes, leaves room for that within a tenth of the rate; the rest of the margin is for
/// uneven arrival.
#pragma once
#include "limits/demand_estimator.hpp"

namespace dunlinwing::limits {

/// What the next quotas depend on, beside the present ones.
struct QuotaInput {
  int64_t rate = 0;            ///< requests a second over the fleet
  Duration since_decrease{0};  ///< since quotas last fell, as the leader knows
  Duration bound{2000};        ///< after this every node follows a decrease
  DemandByNode demand;         ///< of the nodes that should have a quota
};

/// What a step does; a step never does both.
enum class QuotaChange { none, decreased, increased };

/// The outcome of a step.
struct QuotaStep {
  pb::RateQuotas quotas;  ///< the next ones
  QuotaChange change = QuotaChange::none;
};

/// One step towards the quotas that the demand asks for: decreases come first and alone.
QuotaStep next_quotas(const pb::RateQuotas& quotas, const QuotaInput& input);

/// The name of the register that holds a service's quotas.
std::string quota_key(const std::string& service);

}  // namespace dunlinwing::limits
