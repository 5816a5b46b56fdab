/// @file
/// A backend instance, as its heartbeats describe it.
#pragma once
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::membership {

/// One process of a service. It gets a new name at each start.
struct BackendInstance {
  std::string instance, service, version, zone;
  std::string address;      ///< IP:port that accepts its requests
  int capacity = 1;         ///< requests that it processes concurrently
  TimePoint cold_until{0};  ///< end of its warm-up, during which it is slow; 0: not reported
};

}  // namespace dunlinwing::membership
