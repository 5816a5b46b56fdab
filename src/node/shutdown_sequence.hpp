/// @file
/// The orderly end of a process: it is not ready, then takes no new requests, then waits for those that run.
///
/// Threads: used by the control thread only.
#pragma once
#include "node/listeners.hpp"
#include "node/node.hpp"

namespace dunlinwing::node {

/// The times of a shutdown, each from its begin.
struct ShutdownTimes {
  Duration stop_serving{0};  ///< until then new requests are answered: the platform still sends them
  Duration give_up{0};       ///< then requests that still run are cut
};

/// @param grace  from the signal to stop until the process must have ended; 0: the times follow from the
/// bound
ShutdownTimes shutdown_times(Duration grace, Duration bound);

class ShutdownSequence {
 public:
  /// All arguments have to outlive the sequence.
  ShutdownSequence(base::Clock& clock, Node& node, Listeners& listeners, ShutdownTimes times);

  /// Suspends the calling fiber until the node may end. Only the first call returns.
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
