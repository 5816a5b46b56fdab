// Rows of measured figures: each run appends its rows to one CSV file, and the page is
// generated only from that file.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dunlinwing::measure {

struct Row {
  std::string run;  // name of the series
  int nodes = 0, backends = 0, period_ms = 0, registers = 0;
  double changes = 0, purges = 0;  // per second
  int seed = 0;
  std::string figure;
  double value = 0;
};

using Figures = std::map<std::string, double>;

std::vector<Row> read_rows(const std::string& file);
// Appends the figures; writes the heading first if the file is new. `like` holds the other columns.
bool add_rows(const std::string& file, const Row& like, const Figures& f);

// Percentiles of observed values, from a histogram with equal steps on a logarithmic scale
// (1e-3 to 1e9, one percent per step).
class Distribution {
 public:
  Distribution();
  Distribution(Distribution&&) noexcept;
  ~Distribution();
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

// A straight line fitted by least squares, and the range of the slopes fitted for single seeds.
struct Line {
  double base = 0, slope = 0, least = 0, most = 0;  // least and most: of the slopes by seed
  int points = 0, seeds = 0;
  double at(double x) const { return base + slope * x; }
};
struct Point {
  double x, y;
  int seed;
};
Line fit(const std::vector<Point>& ps);

}  // namespace dunlinwing::measure
