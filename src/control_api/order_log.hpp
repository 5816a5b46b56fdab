/// @file
/// Logs for each order of an operator the time of its stages: taken, written at a quorum, acknowledged, in
/// force on this node.
///
/// Threads: called in fibers of the control thread.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// The stages of one order; all times are those of this node's clock.
struct OrderStages {
  std::string order;      ///< method and path
  TimePoint taken{0};     ///< read to its end
  TimePoint written{0};   ///< the change was decided, at a quorum where it was needed; 0: it was not, so far
  TimePoint answered{0};  ///< the response went out
  int status = 0;         ///< of the response
};

/// Logs the stages once the order is in force here, or was not acknowledged.
void log_order(const ApiContext& context, const std::shared_ptr<const OrderStages>& stages);

}  // namespace dunlinwing::control_api
