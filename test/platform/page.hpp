// A configuration as the stand-in operator means it, and in the words it is put in.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::test {

struct Line {                            // a route
  std::string name, host, prefix, kind;  // kind: idempotent, non_idempotent, cacheable
  double timeout_s = 1.5, aim_s = 0.2, keep_s = 0;
  int priority = 1, attempts = 2;
  std::vector<std::pair<std::string, double>> to;
};

struct Backend {
  std::string name;
  int connections = 130;
  double rate = 0;
};

struct Page {
  uint64_t revision = 0;
  std::vector<Line> lines;
  std::vector<Backend> backends;
  std::string text() const;
  const Line* match(const std::string& host, const std::string& target) const;
  bool leads(const std::string& host, const std::string& target, const std::string& service) const;
};

// The first configuration of a day; and one step on from it: a route added, dropped or
// led elsewhere, a split, a time-out.
Page first_page(double rate = 0);
Page next_page(const Page& p, uint64_t revision, uint64_t dice);

// What must be turned away: its name, and the text, which would stand under `revision`.
std::vector<std::pair<std::string, std::string>> invalid_texts(const Page& p, uint64_t revision);

}  // namespace dunlinwing::test
