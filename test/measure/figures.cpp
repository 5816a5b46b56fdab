// The users' requirements one by one. Measured values come from the rows; verdicts at the
// users' size follow from the table of roles and are written here as text.
#include <fmt/format.h>

#include <algorithm>

#include "pick.hpp"
#include "project.hpp"

namespace dunlinwing::measure {
namespace {
using Rows = std::vector<Row>;

// The value of a figure at the largest fleet size of the run: "VALUE UNIT at N nodes".
std::string most(const Rows& r, const std::string& run, const std::string& figure, const std::string& unit,
                 double k = 1) {
  int n = 0;
  for (auto& x : pick(r, run, figure)) n = std::max(n, x.nodes);
  if (!n) return "not run";
  return fmt::format("{} {} at {} nodes", at_size(r, run, figure, n, k), unit, n);
}
}  // namespace

std::string figures(const Rows& r) {
  int top = 0;
  for (auto* run : {"sizes", "double"})
    for (int n : sizes_of(r, run)) top = std::max(top, n);
  Markdown m({"users' figure", "seen", "run", "verdict", "mechanism"});
  m.row({"17,000 nodes before 6,800 workers",
         fmt::format("{} hollow nodes in one process, none without a permit", top), "`sizes`, `double`",
         "**not met**: a relay's bytes and processor, a holder's processor (above)", "1, 2, 4"});
  m.row({"1,200 sites, 57 regions, 184 zones", "product: 3 regions, 6 zones; model: 57 and 184", "`tree:*`",
         "not measured in the product; the model's limits are below", "1, 2, 4"});
  m.row({"12 million requests/s (706 a node)", "not run: hollow nodes have no callers", "", "not measured",
         "relays share nothing for a request but the tables"});
  m.row({"130 Tbit/s (7.6 Gbit/s a node)", "not run", "", "not measured", "the same"});
  m.row({"21 billion objects",
         "not run; receipts are kept in memory alone (67 MB a relay unless a layout says more)", "",
         "not measured; no disk cache is built", "a cache on disk, beyond control"});
  m.row({"160 purges/s",
         fmt::format("{} asked, {} everywhere", most(r, "both", "purge_asked", "purges"),
                     most(r, "both", "purge_everywhere", "purges")),
         "`both`", "**not met**: past 128 a service they are folded into one of the whole service", "5"});
  m.row({"each purge everywhere within 1.8 s",
         fmt::format("at most {}, processor not counted", most(r, "both", "purge_most_ms", "ms")), "`both`",
         "met at that size; **not met** at 17,000, where a holder would need many cores",
         "2, 5; model: `tree:direct`"});
  m.row({"12,000 changes a day",
         fmt::format("as registers, at most {}", most(r, "both", "change_most_ms", "ms")), "`both`",
         "**not met** as releases: one of a kind at a time, through phases of 35 minutes and more", "3"});
  m.row({"each change in force within 13 s",
         fmt::format("express layouts: at most {}", most(r, "layouts", "layout_most_ms", "ms")), "`layouts`",
         "met at that size for express ones; **not met** by phases, on purpose (docs/rollout.md); not "
         "measured at 17,000",
         "3"});
  m.row({"2.9% of a core, 64 MB, 7 KB/s a node", "the roles' table", "`sizes`, loads",
         "**not met**, see there", "1, 2, 3, 5"});
  m.row({"16 machines set aside",
         fmt::format("5 holders; each {}", most(r, "sizes", "holder_cpu_ms_s", "ms/s")), "`sizes`",
         "**not met**: a holder's control is one thread", "2, 4; model: `tree:direct`"});
  m.row({"29 machines fail a day, 7,200 are restarted (one each 12 s)",
         fmt::format("1% at once: whole again after {}", most(r, "restart", "whole_again_ms", "ms")),
         "`restart`", "met at that size; not measured at 17,000",
         "a new node asks its parent for the scope alone (1, 2)"});
  m.row({"a rack or switch a week, a zone each other month",
         fmt::format("a zone with a holder: known after {}; whole again after {}",
                     most(r, "zone", "known_gone_ms", "ms"), most(r, "zone", "whole_again_ms", "ms")),
         "`zone`", "met at that size; not measured at 17,000; a rack alone not run", "2, 4"});
  m.row({"regions lose each other for an hour",
         fmt::format("a third apart for 3600 s: whole again after {}, all known everywhere after {}",
                     most(r, "hour", "whole_again_ms", "ms"), most(r, "hour", "all_everywhere_ms", "ms")),
         "`hour`, `apart`",
         "repair met at that size; **not met** while it lasts: a region without a majority turns all callers "
         "away",
         "6"});
  return m.text();
}

}  // namespace dunlinwing::measure
