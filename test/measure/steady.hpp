// The cost of control without faults: a hollow fleet of one size under a given load of
// backend instances, registers, changes and purges, measured for a time window.
#pragma once
#include "hollow.hpp"
#include "rows.hpp"

namespace dunlinwing::measure {

struct Load {
  int backends = 0, period_ms = 2000, registers = 0;
  double changes = 0, purges = 0;  // per second
  int configurations = 0;          // rolled out one after another
  int window_s = 5;
};

// Runs `script` in a running fleet that serves a configuration.
// @return empty, or the reason why the run failed
std::string run_in_fleet(uint64_t seed, Shape s, Duration length,
                         const std::function<void(HollowFleet&)>& script);
Figures steady(uint64_t seed, Shape s, const Load& l);

// Streams of changes and purges; measures the time until all nodes know each of them.
class Stream {
 public:
  explicit Stream(HollowFleet& f);
  ~Stream();
  void changes(double a_second, TimePoint until);
  void purges(double a_second, TimePoint until);
  /// Waits until all nodes know all acknowledged writes; false on timeout.
  bool await_propagation(Duration most);
  void figures(Figures& out) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

std::string layout_doc(int k);
bool put_layout(HollowFleet& f, const std::string& name, int k);

}  // namespace dunlinwing::measure
