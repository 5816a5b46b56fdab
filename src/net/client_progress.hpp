/// @file
/// How fast a client sends a request or reads a response, by which a server decides whose connection gives
/// way when connections or memory are short.
///
/// Threads: used only on the event loop of its connection.
#pragma once
#include <algorithm>

#include "base/common.hpp"

namespace dunlinwing::net {

class ClientProgress {
 public:
  /// Begins anew, with a request or a response.
  void begin(TimePoint now) {
    began_at_ = progress_at_ = now;
    bytes_ = 0;
  }

  /// Counts bytes that were received or sent.
  void record(size_t bytes, TimePoint now) {
    progress_at_ = now;
    bytes_ += bytes;
  }

  /// Whether it has been slow for kMinSlowTime, or has stopped for kMaxPause.
  bool is_slow(TimePoint now) const {
    if (now - progress_at_ >= kMaxPause) return true;
    return now - began_at_ >= kMinSlowTime && bytes_per_second(now) < kMinBytesPerSecond;
  }

  double bytes_per_second(TimePoint now) const {
    const auto elapsed = std::max(now - began_at_, Duration(1));
    return static_cast<double>(bytes_) / static_cast<double>(elapsed.count()) * kMsPerSecond;
  }

 private:
  static constexpr Duration kMinSlowTime{500};
  static constexpr Duration kMaxPause{2000};
  static constexpr double kMinBytesPerSecond = 4 << 10;
  static constexpr double kMsPerSecond = 1000;

  TimePoint began_at_{0};
  TimePoint progress_at_{0};
  size_t bytes_ = 0;
};

}  // namespace dunlinwing::net
