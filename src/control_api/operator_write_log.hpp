/// @file
/// Logs when each write request of an operator reached its stages: received, written at a quorum,
/// acknowledged, in force on this node.
///
/// Threads: called in fibers of the control thread.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// The stages of one operator request; all times are read from this node's clock.
struct OperatorWriteTimes {
  std::string request;     ///< method and path
  TimePoint received{0};   ///< the request was read completely
  TimePoint written{0};    ///< the handler ended, after a quorum where one was needed; 0: not yet
  TimePoint responded{0};  ///< the response was given
  int status = 0;          ///< of the response
};

/// Logs the stages once the change is in force here, or at once when it was not acknowledged.
void log_operator_write(const ApiContext& context, const std::shared_ptr<const OperatorWriteTimes>& times);

}  // namespace dunlinwing::control_api
