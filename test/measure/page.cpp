// Fails on a mark with the name of an unknown table and on a missing end mark.
#include "page.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "plot.hpp"
#include "tables.hpp"

namespace dunlinwing::measure {

int page(const std::string& csv, const std::string& file, const std::string& plot) {
  auto rows = read_rows(csv);
  if (rows.empty()) return std::cerr << "measure: missing file or no rows: " << csv << "\n", 1;
  auto all = tables(rows);
  if (file.empty()) {
    for (auto& [n, t] : all) std::cout << "<!-- table " << n << " -->\n" << t << "<!-- end -->\n";
  } else {
    std::stringstream in;
    in << std::ifstream(file).rdbuf();
    std::string out, s, open;
    while (std::getline(in, s)) {
      if (s.starts_with("<!-- table ")) {
        open = s.substr(11, s.find(' ', 11) - 11);
        if (!all.count(open))
          return std::cerr << "measure: unknown table name in the page: " << open << "\n", 1;
        out += s + "\n" + all[open];
        continue;
      }
      if (s == "<!-- end -->") open.clear();
      if (open.empty()) out += s + "\n";
    }
    if (!open.empty()) return std::cerr << "measure: the table " << open << " has no <!-- end --> mark\n", 1;
    std::ofstream(file) << out;
  }
  if (!plot.empty() && !draw(rows, plot))
    return std::cerr << "measure: gnuplot failed or is not installed\n", 1;
  return 0;
}

}  // namespace dunlinwing::measure
