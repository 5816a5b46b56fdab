/// @file
/// Logs each response that promises a client that its request was not executed, with the place that decided
/// it and every attempt, so that a promise can be verified against the backend instances' own records.
///
/// Requests that may be executed only once are logged at level info, all others at level debug. At most
/// kMaxLinesPerSecond lines are written; a later line states how many were left out.
/// Threads: every function may be called from any fiber.
#pragma once
#include "base/log_limiter.hpp"
#include "proxy/upstream_client.hpp"

namespace dunlinwing::proxy {

/// A response to a client by which this node promises that the request was not executed.
struct Refusal {
  const base::Request& request;
  const AttemptAccount& attempts;
  int status = 0;  ///< of the response
  RejectionReason reason = RejectionReason::none;
  bool may_repeat = false;  ///< the request may be executed more than once
  Duration elapsed{0};      ///< since the request arrived
};

class RefusalLog {
 public:
  static constexpr int kMaxLinesPerSecond = 100;

  /// @param clock  must outlive the log
  RefusalLog(std::string node_name, base::Clock& clock) : node_name_(std::move(node_name)), clock_(clock) {}

  void record(const Refusal& refusal);

 private:
  std::string node_name_;
  base::Clock& clock_;
  base::LogLimiter limiter_{kMaxLinesPerSecond};
};

}  // namespace dunlinwing::proxy
