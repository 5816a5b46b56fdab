/// @file
/// The dependencies that every handler of the control API receives, and the signature of a handler.
///
/// Threads: handlers run in fibers of the control thread; each may suspend its fiber.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

struct OperatorWriteTotals;

class WriteForwarder;

/// Outlives every request.
struct ApiContext {
  base::Ports& ports;
  node::Node& node;
  consensus::RegisterUpdater& updater;  ///< of the registers that operators and backend instances change
  WriteForwarder& forwarder;
  OperatorWriteTotals& write_totals;  ///< of the operator requests that this node received
};

/// Answers one request whose path matched the handler's route (control_api/router.cpp): the path has
/// as many segments as the route's pattern.
using Handler = base::Response (*)(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
