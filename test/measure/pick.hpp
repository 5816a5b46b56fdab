// Picks values out of the rows, and writes tables in markdown.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

// All values of a figure in a run, by size and seed; only runs that ended well.
std::vector<Row> pick(const std::vector<Row>& rows, const std::string& run, const std::string& figure);
std::vector<int> sizes_of(const std::vector<Row>& rows, const std::string& run);
// Median, with least and most when there is more than one; "" when there is none.
std::string cell(std::vector<double> v, double scale = 1);
std::string at_size(const std::vector<Row>& rows, const std::string& run, const std::string& figure,
                    int nodes, double scale = 1);
double median(std::vector<double> v);
std::string num(double x);  // three figures

class Markdown {
 public:
  explicit Markdown(std::vector<std::string> head);
  void row(const std::vector<std::string>& cells);
  const std::string& text() const { return s_; }

 private:
  size_t n_;
  std::string s_;
};

}  // namespace dunlinwing::measure
