/// @file
/// The operating system's clocks.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::net {

class SystemClock final : public base::Clock {
 public:
  TimePoint now() override;  ///< CLOCK_BOOTTIME, which advances while the machine is suspended
  int64_t wall_ms() override;
  void sleep(Duration duration) override;  ///< call only in a fiber of an event loop
};

}  // namespace dunlinwing::net
