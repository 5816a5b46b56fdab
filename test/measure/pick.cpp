// A run is identified by all of its columns; failed runs are left out of all tables.
#include "pick.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace dunlinwing::measure {
namespace {
auto key(const Row& r) {
  return std::make_tuple(r.run, r.nodes, r.backends, r.period_ms, r.registers, r.changes, r.purges, r.seed);
}
}  // namespace

std::vector<Row> pick(const std::vector<Row>& rows, const std::string& run, const std::string& figure) {
  std::set<decltype(key(rows[0]))> bad;
  for (auto& r : rows)
    if (r.run == run && r.figure == "ended" && r.value == 0) bad.insert(key(r));
  std::vector<Row> out;
  for (auto& r : rows)
    if (r.run == run && r.figure == figure && !bad.count(key(r))) out.push_back(r);
  return out;
}

std::vector<int> sizes_of(const std::vector<Row>& rows, const std::string& run) {
  std::set<int> s;
  for (auto& r : rows)
    if (r.run == run) s.insert(r.nodes);
  return {s.begin(), s.end()};
}

std::string num(double x) {
  if (x == 0) return "0";
  double a = std::abs(x);
  if (a >= 100) return fmt::format("{:.0f}", x);
  int places = a >= 10 ? 1 : a >= 1 ? 2 : std::min(6, 2 - static_cast<int>(std::floor(std::log10(a))));
  return fmt::format("{:.{}f}", x, places);
}

double median(std::vector<double> v) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v.size() % 2 ? v[v.size() / 2] : (v[v.size() / 2 - 1] + v[v.size() / 2]) / 2;
}

std::string cell(std::vector<double> v, double k) {
  if (v.empty()) return "";
  std::sort(v.begin(), v.end());
  auto s = num(median(v) * k);
  if (v.size() > 1) s += fmt::format(" ({}, {})", num(v.front() * k), num(v.back() * k));
  return s;
}

std::string at_size(const std::vector<Row>& rows, const std::string& run, const std::string& figure,
                    int nodes, double k) {
  std::vector<double> v;
  for (auto& r : pick(rows, run, figure))
    if (r.nodes == nodes) v.push_back(r.value);
  return cell(v, k);
}

Markdown::Markdown(std::vector<std::string> head) : n_(head.size()) {
  row(head);
  s_ += "|";
  for (size_t i = 0; i < n_; ++i) s_ += "---|";
  s_ += "\n";
}

void Markdown::row(const std::vector<std::string>& cells) {
  s_ += "|";
  for (size_t i = 0; i < n_; ++i) s_ += fmt::format(" {} |", i < cells.size() ? cells[i] : "");
  s_ += "\n";
}

}  // namespace dunlinwing::measure
