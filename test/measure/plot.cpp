// Four panels: bytes, processor time, memory, and the bytes of a replica; each with its
// limit if the users gave one. Each point is one run.
#include "plot.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace dunlinwing::measure {
namespace {
struct Panel {
  const char *title, *figure, *unit;
  double scale, limit;
  bool times_n;
};
constexpr Panel kPanels[] = {{"relay: bytes", "relay_bytes", "KB/s", 1e-3, 7, false},
                             {"relay: processor time", "relay_cpu_ms_s", "ms/s", 1, 29, false},
                             {"relay: memory", "memory_bytes", "MB", 1e-6, 64, false},
                             {"holder: bytes", "holder_bytes", "KB/s", 1e-3, 0, true}};
}  // namespace

bool draw(const std::vector<Row>& rows, const std::string& file) {
  std::string s = fmt::format(
      "set terminal svg size 900,640 background 'white' font 'sans,11'\nset output '{}'\n"
      "set multiplot layout 2,2 title 'One node under the present control, by size of the fleet (hollow, "
      "simulated)'\n"
      "set logscale xy\nset grid\nset key top left\nset xlabel 'nodes'\n",
      file);
  for (auto& p : kPanels) {
    std::string d;
    std::vector<Point> ps;
    for (auto& r : rows)
      if ((r.run == "sizes" || r.run == "double") && r.figure == p.figure && r.value > 0) {
        d += fmt::format("{} {:g}\n", r.nodes, r.value * p.scale);
        if (r.run == "sizes")
          ps.push_back({double(r.nodes), r.value * p.scale / (p.times_n ? r.nodes : 1), r.seed});
      }
    if (d.empty()) continue;
    s += fmt::format("$d << EOD\n{}EOD\nset title '{}'\nset ylabel '{}'\nset xrange [5:20000]\n", d, p.title,
                     p.unit);
    auto l = fit(ps);
    s += fmt::format("f(x)={}({:g}+{:g}*x)\n", p.times_n ? "x*" : "", l.base, l.slope);
    s += fmt::format(
        "plot $d using 1:2 with points pt 7 ps 0.5 title 'runs', f(x) with lines dt 2 title 'fitted law'");
    if (p.limit > 0) s += fmt::format(", {} with lines lw 2 title 'allowed at 17000'", p.limit);
    s += "\n";
  }
  s += "unset multiplot\n";
  auto* g = ::popen("gnuplot", "w");
  if (!g) return false;
  std::fwrite(s.data(), 1, s.size(), g);
  return ::pclose(g) == 0;
}

}  // namespace dunlinwing::measure
