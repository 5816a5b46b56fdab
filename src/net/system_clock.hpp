/// @file
/// The machine's clocks.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::net {

class SystemClock final : public base::Clock {
 public:
  TimePoint now() override;  ///< of CLOCK_BOOTTIME, which goes on while the machine is suspended
  int64_t wall_ms() override;
  void sleep(Duration duration) override;  ///< only in a fiber of an event loop
};

}  // namespace dunlinwing::net
