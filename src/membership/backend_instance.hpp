/// @file
/// A backend instance as nodes know it from its heartbeats.
#pragma once
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::membership {

struct BackendInstance {
  std::string instance, service, version, zone, address;
  int capacity = 1;
  TimePoint cold_until{0};  // it has just started and is slow until then; 0: it says it is not
};

}  // namespace dunlinwing::membership
