// Joins the journals of clients, backend instances and the platform and reports
// each violation of the twelve safety rules.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/json.hpp"

namespace dunlinwing::test {

struct Breach {
  int rule;
  std::string what;
};

struct Journals {
  std::vector<base::Json> lines;  // of all journals
  bool read(const std::string& path);
  void add(const std::string& line);
};

struct CheckReport {
  std::vector<Breach> breaches;
  std::map<std::string, uint64_t> figures;
};

CheckReport check(const Journals& js);

}  // namespace dunlinwing::test
