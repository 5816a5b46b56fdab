/// @file
/// Splits a service's configured rate into quotas by node. Pure. Quotas fall at once, and rise only when no
/// node can still be using a quota that has fallen. So the quotas in use together never exceed the rate.
///
/// Each node may be early by one request, so N nodes may be early by N in any five seconds. The sum of the
/// quotas and the number of nodes with one leave room for that within a tenth of the rate; the rest of the
/// margin is for uneven arrival.
#pragma once
#include "limits/demand_estimator.hpp"

namespace dunlinwing::limits {

/// What the next quotas depend on, apart from the current ones.
struct QuotaInput {
  int64_t rate = 0;            ///< requests per second over the fleet
  Duration since_decrease{0};  ///< since quotas last fell, as far as the leader knows
  Duration bound{2000};        ///< within which every node follows a decrease
  DemandByNode demand;         ///< of the nodes that should have a quota
};

/// The effect of a step, which never both lowers and raises quotas.
enum class QuotaChange { none, decreased, increased };

/// The result of a step.
struct QuotaStep {
  pb::RateQuotas quotas;  ///< the new quotas
  QuotaChange change = QuotaChange::none;
};

/// Computes one step towards the target quotas: a step either only lowers or only raises quotas.
QuotaStep next_quotas(const pb::RateQuotas& quotas, const QuotaInput& input);

/// The name of the register that stores a service's quotas.
std::string quota_key(const std::string& service);

}  // namespace dunlinwing::limits
