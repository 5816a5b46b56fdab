/// @file
/// A node's metrics in the text form of Prometheus. Labels are bounded: only services of the configuration in
/// force. Names and help texts are part of the API (docs/operators.md).
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// The page of GET /metrics. Counters count since the start of this process.
/// @param now  the time at which leases and sessions are evaluated
std::string metrics_page(const ApiContext& context, TimePoint now);

}  // namespace dunlinwing::control_api
