// Selects values from the rows, and writes Markdown tables.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

// All values of a figure in a run, by size and seed, without runs that failed.
std::vector<Row> pick(const std::vector<Row>& rows, const std::string& run, const std::string& figure);
std::vector<int> sizes_of(const std::vector<Row>& rows, const std::string& run);
// The median, with minimum and maximum if there are several values; "" if there are none.
std::string cell(std::vector<double> v, double scale = 1);
std::string at_size(const std::vector<Row>& rows, const std::string& run, const std::string& figure,
                    int nodes, double scale = 1);
double median(std::vector<double> v);
std::string num(double x);  // with three significant digits

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
