// Rows of figures: each run appends its own to one CSV file, and the page is made
// from that file alone.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dunlinwing::measure {

struct Row {
  std::string run;  // what the run was for
  int nodes = 0, backends = 0, period_ms = 0, registers = 0;
  double changes = 0, purges = 0;  // a second
  int seed = 0;
  std::string figure;
  double value = 0;
};

using Figures = std::map<std::string, double>;

std::vector<Row> read_rows(const std::string& file);
// Writes the heading when the file is new; `like` says what the run was.
bool add_rows(const std::string& file, const Row& like, const Figures& f);

// Percentiles of what was seen, by a histogram of equal steps on a log scale (a
// thousandth to a thousand million, one percent a step).
class Spread {
 public:
  Spread();
  Spread(Spread&&) noexcept;
  ~Spread();
  void add(double x);
  double at(double part) const;  // 0.5: the median
  double most() const { return most_; }
  size_t count() const { return n_; }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  double most_ = 0;
  size_t n_ = 0;
};

// A straight line by least squares, with the slopes of each seed alone beside it.
struct Line {
  double base = 0, slope = 0, least = 0, most = 0;  // of the slope, over seeds
  int points = 0, seeds = 0;
  double at(double x) const { return base + slope * x; }
};
struct Point {
  double x, y;
  int seed;
};
Line fit(const std::vector<Point>& ps);

}  // namespace dunlinwing::measure
