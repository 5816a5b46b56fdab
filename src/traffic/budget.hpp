// Bounds that hold over the whole fleet because each relay keeps its own part:
// repeats as a share of requests in any ten seconds, and an origin's rate.
#pragma once
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::traffic {

class Repeats {
 public:
  void sent(const std::string& service);
  // True, and counted, when one more repeat stays within a fifth of the
  // requests plus this relay's part of the allowance, over any time at all.
  bool grant(const std::string& service, int64_t allowance, int nodes);

 private:
  std::mutex m_;
  std::map<std::string, double> earned_;  // repeats earned and not yet spent
};

// Spaces sends evenly at this relay's share of a stated rate.
class Pace {
 public:
  explicit Pace(base::Clock& c) : clock_(c) {}
  // How long to wait for the next place, or nothing when it is beyond `most`.
  std::optional<Span> reserve(const std::string& service, double share, Span most);

 private:
  base::Clock& clock_;
  std::mutex m_;
  std::map<std::string, double> next_ms_;
};

}  // namespace dunlinwing::traffic
