// The CSV has no quoting: no field may contain a comma.
#include "rows.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <fstream>
#include <set>
#include <sstream>

namespace dunlinwing::measure {
namespace bh = boost::histogram;
namespace {
constexpr const char* kHead = "run,nodes,workers,period_ms,registers,changes,purges,seed,figure,value";
constexpr double kLeast = 1e-3, kMost = 1e9;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
}  // namespace

std::vector<Row> read_rows(const std::string& file) {
  std::vector<Row> out;
  std::ifstream f(file);
  std::string s;
  while (std::getline(f, s)) {
    if (s.empty() || s == kHead) continue;
    std::vector<std::string> v;
    std::stringstream t(s);
    for (std::string x; std::getline(t, x, ',');) v.push_back(x);
    if (v.size() != 10) continue;
    out.push_back({v[0], std::atoi(v[1].c_str()), std::atoi(v[2].c_str()), std::atoi(v[3].c_str()),
                   std::atoi(v[4].c_str()), std::atof(v[5].c_str()), std::atof(v[6].c_str()),
                   std::atoi(v[7].c_str()), v[8], std::atof(v[9].c_str())});
  }
  return out;
}

bool add_rows(const std::string& file, const Row& r, const Figures& figures) {
  bool empty = std::ifstream(file).peek() == std::ifstream::traits_type::eof();
  std::ofstream f(file, std::ios::app);
  std::string s = empty ? std::string(kHead) + "\n" : "";
  for (auto& [k, v] : figures)
    s += fmt::format("{},{},{},{},{},{:g},{:g},{},{},{:.6g}\n", r.run, r.nodes, r.backends, r.period_ms,
                     r.registers, r.changes, r.purges, r.seed, k, v);
  f << s;
  return static_cast<bool>(f.flush());
}

struct Distribution::Impl {
  decltype(bh::make_histogram(Axis(2780, kLeast, kMost))) h = bh::make_histogram(Axis(2780, kLeast, kMost));
};

Distribution::Distribution() : impl_(new Impl) {}
Distribution::Distribution(Distribution&&) noexcept = default;
Distribution::~Distribution() = default;

void Distribution::add(double x) {
  impl_->h(std::clamp(x, kLeast, kMost * 0.999));
  most_ = std::max(most_, x);
  ++n_;
}

double Distribution::at(double part) const {
  double want = part * static_cast<double>(n_), sum = 0;
  for (auto&& c : bh::indexed(impl_->h))
    if ((sum += *c) >= want && sum > 0) return std::min(most_, c.bin().upper());
  return most_;
}

namespace {
std::pair<double, double> line(const std::vector<Point>& ps) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (auto& p : ps) n += 1, x += p.x, y += p.y, xx += p.x * p.x, xy += p.x * p.y;
  double d = n * xx - x * x;
  if (n < 2 || d <= 0) return {n ? y / n : 0, 0};
  double b = (n * xy - x * y) / d;
  return {(y - b * x) / n, b};
}
}  // namespace

Line fit(const std::vector<Point>& ps) {
  Line l;
  std::tie(l.base, l.slope) = line(ps);
  l.least = l.most = l.slope;
  l.points = static_cast<int>(ps.size());
  std::set<int> seeds;
  double far = 0;
  for (auto& p : ps) seeds.insert(p.seed), far = std::max(far, p.x);
  l.seeds = static_cast<int>(seeds.size());
  for (int s : seeds) {
    std::vector<Point> one;
    std::copy_if(ps.begin(), ps.end(), std::back_inserter(one), [s](auto& p) { return p.seed == s; });
    // The slope of a seed without a run at the largest size is not comparable.
    if (one.size() < 2 || std::none_of(one.begin(), one.end(), [&](auto& p) { return p.x == far; })) continue;
    auto b = line(one).second;
    l.least = std::min(l.least, b);
    l.most = std::max(l.most, b);
  }
  return l;
}

}  // namespace dunlinwing::measure
