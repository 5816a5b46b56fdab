/// @file
/// Graceful shutdown of a process: it reports not ready, then rejects new requests, then waits for running
/// ones.
///
/// Threads: used by the control thread only.
#pragma once
#include "node/listeners.hpp"
#include "node/node.hpp"

namespace dunlinwing::node {

/// The times of a shutdown, relative to its start.
struct ShutdownTimes {
  Duration stop_serving{0};    ///< until then new requests are served: the platform still sends them
  Duration abort_requests{0};  ///< requests still running then are aborted
};

/// @param grace  from the stop signal until the process must have exited; 0: the times are derived from the
/// bound
ShutdownTimes shutdown_times(Duration grace, Duration bound);

class ShutdownSequence {
 public:
  /// All arguments must outlive the sequence.
  ShutdownSequence(base::Clock& clock, Node& node, Listeners& listeners, ShutdownTimes times);

  /// Suspends the calling fiber until the process may exit. Only the first call returns.
  void run();

 private:
  bool is_busy() const;

  base::Clock& clock_;
  Node& node_;
  Listeners& listeners_;
  ShutdownTimes times_;
  bool begun_ = false;
};

}  // namespace dunlinwing::node
