/// @file
/// Logs the traffic on the machine's network link by direction and class, relative to the link's rate, so
/// that operators can see which traffic class delayed others. Threads: used by the control thread only.
#pragma once
#include "link/link.hpp"

namespace dunlinwing::node {

class LinkLog {
 public:
  /// @param link  must outlive the log; null: nothing is logged
  LinkLog(std::string node_name, const link::Link* link) : node_name_(std::move(node_name)), link_(link) {}

  /// At most every ten seconds, logs a line for each direction in which transfers had to wait or the traffic
  /// reached half of the link's rate since the previous check.
  void update(TimePoint now);

 private:
  void log_direction(const char* direction, const link::Pacer& pacer, link::TrafficCountsByClass& logged,
                     Duration elapsed) const;

  std::string node_name_;
  const link::Link* link_;
  TimePoint logged_at_{0};
  link::TrafficCountsByClass logged_inbound_;   ///< as of `logged_at_`
  link::TrafficCountsByClass logged_outbound_;  ///< as of `logged_at_`
};

}  // namespace dunlinwing::node
