// What control costs on an ordinary stretch: a hollow fleet of one size under a stated
// load of workers, registers, changes and purges, watched for a while.
#pragma once
#include "hollow.hpp"
#include "rows.hpp"

namespace dunlinwing::measure {

struct Load {
  int backends = 0, period_ms = 2000, registers = 0;
  double changes = 0, purges = 0;  // a second
  int configurations = 0;          // put in force one after another
  int window_s = 5;
};

// Runs `story` in a fleet that is up and serves a layout; tells why not otherwise.
std::string play(uint64_t seed, Shape s, Duration length, const std::function<void(Hollow&)>& script);
Figures steady(uint64_t seed, Shape s, const Load& l);

// Streams of changes and purges, and how long each takes until all nodes know it.
class Stream {
 public:
  explicit Stream(Hollow& f);
  ~Stream();
  void changes(double a_second, TimePoint until);
  void purges(double a_second, TimePoint until);
  bool rest(Duration most);  // true once all that was acknowledged is everywhere
  void figures(Figures& out) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

std::string layout_doc(int k);
bool put_layout(Hollow& f, const std::string& name, int k);

}  // namespace dunlinwing::measure
