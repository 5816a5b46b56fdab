/// @file
/// A backend instance as nodes know it from its heartbeats.
#pragma once
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::membership {

/// One process of a service. Its name is new with each start.
struct BackendInstance {
  std::string instance, service, version, zone;
  std::string address;      ///< HOST:PORT that takes its requests
  int capacity = 1;         ///< requests that it runs at the same time
  TimePoint cold_until{0};  ///< it has just started and is slow until then; 0: it does not say so
};

}  // namespace dunlinwing::membership
