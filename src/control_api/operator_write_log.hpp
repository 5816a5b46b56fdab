/// @file
/// When each write request of an operator reached its stages: received, written at a quorum, acknowledged, in
/// force on this node. Each request is logged, and added to the totals that the metrics page shows.
///
/// Threads: called in fibers of the control thread.
#pragma once
#include "control_api/write_forwarder.hpp"

namespace dunlinwing::control_api {

/// The stages of one operator request; all times are read from this node's clock.
struct OperatorWriteTimes {
  std::string request;     ///< method and path
  ForwardTrace forward;    ///< the node that carried it out, and the calls to find it
  TimePoint received{0};   ///< the request was read completely
  TimePoint written{0};    ///< the handler ended, after a quorum where one was needed; 0: not yet
  TimePoint responded{0};  ///< the response was given
  int status = 0;          ///< of the response
};

/// Sums over the operator requests of this node since its start.
struct OperatorWriteTotals {
  uint64_t acknowledged = 0;  ///< status 2xx
  uint64_t rejected = 0;      ///< status 3xx or 4xx
  uint64_t failed = 0;        ///< any other status, 503 above all
  uint64_t in_force = 0;      ///< acknowledged and then seen in force on this node
  // Times from the reception of the acknowledged requests.
  Duration until_written{0};
  Duration until_acknowledged{0};
  Duration until_in_force{0};  ///< of those counted in `in_force`
};

/// Counts and logs the request: once the change is in force here, or at once when it was not acknowledged.
void record_operator_write(const ApiContext& context, const std::shared_ptr<const OperatorWriteTimes>& times);

}  // namespace dunlinwing::control_api
