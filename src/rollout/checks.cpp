// The source leaves open what its checks measure. Ours compare the nodes on a
// release with those not on it over the same time, so that a bad hour for all
// does not stop a release, and a release that is only bad is stopped.
#include "rollout/checks.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::rollout {
namespace {
bool on(const pb::Rollout& s, const std::string& node, const pb::Course& c) {
  auto n = s.nodes().find(node);
  if (n == s.nodes().end()) return false;
  auto f = n->second.releases().find(c.kind());
  return f != n->second.releases().end() && f->second == c.release();
}

constexpr double kSlack = 0.005;       // a defect rate this close to the rest is no failure
constexpr uint64_t kLeastDefects = 5;  // one bad answer proves nothing
constexpr uint64_t kLeastProbes = 10;
constexpr uint64_t kLeastBeats = 16;  // by random alone less than a quarter of so many hardly ever comes
}  // namespace

bool runs(const NodeSight& n, const pb::Course& c) {
  auto f = n.running.find(c.kind());
  return f != n.running.end() && f->second == c.release();
}

bool runs_all(const pb::Course& c, const Sight& v, const pb::Rollout& s) {
  bool any = false;
  for (auto& n : v.nodes) {
    if (!on(s, n.name, c)) continue;
    if (!n.present || !runs(n, c)) return false;
    any = true;
  }
  return any;
}

void gather(pb::Course& c, const Sight& v, const pb::Rollout& s) {
  auto* e = c.mutable_evidence();
  bool away =
      std::any_of(v.nodes.begin(), v.nodes.end(), [&](auto& n) { return !n.present && on(s, n.name, c); });
  c.set_lost_ms(away ? c.lost_ms() + static_cast<uint64_t>(v.dt.count()) : 0);
  for (auto& n : v.nodes) {
    if (!n.present) continue;
    if (on(s, n.name, c)) {
      if (!runs(n, c)) continue;
      e->set_on_requests(e->on_requests() + n.requests);
      e->set_on_defects(e->on_defects() + n.defects);
      e->set_probes_ok(e->probes_ok() + n.probes_ok);
      e->set_probes_bad(e->probes_bad() + n.probes_bad);
      e->set_beats(e->beats() + n.beats);
      e->set_beats_usual(e->beats_usual() + n.beats_usual);
    } else {
      e->set_off_requests(e->off_requests() + n.requests);
      e->set_off_defects(e->off_defects() + n.defects);
      e->set_off_probes_ok(e->off_probes_ok() + n.probes_ok);
      e->set_off_probes_bad(e->off_probes_bad() + n.probes_bad);
      e->set_off_beats(e->off_beats() + n.beats);
      e->set_off_beats_usual(e->off_beats_usual() + n.beats_usual);
    }
  }
}

std::optional<std::string> failed(const pb::Course& c, const Sight& v, const pb::Rollout& s, const Rules& r,
                                  const pb::Act& act) {
  auto waived = [&](const char* k) { return act.waived().count(k) > 0; };
  int on_all = 0, on_lost = 0, off_all = 0, off_lost = 0;
  std::string refused;
  for (auto& n : v.nodes) {
    bool o = on(s, n.name, c);
    (o ? on_all : off_all)++;
    if (!n.present) (o ? on_lost : off_lost)++;
    if (o && n.present && n.load_defect.starts_with(c.kind() + "/" + c.release() + ":"))
      refused = n.name + ": " + n.load_defect;
  }
  if (!waived("beats")) {
    if (c.phase() == pb::ONE && on_lost > 0 &&
        Duration(static_cast<int64_t>(c.lost_ms())) >= r.absence(c.kind()))
      return "check beats: the phase-one machine is lost";
    // One machine may be lost unnoticed; a third of those on it, when the rest stands better, may not.
    if (on_lost >= 2 && on_lost * 3 > on_all && on_lost * off_all > 2 * off_lost * on_all)
      return fmt::format("check beats: {} of {} nodes on it are lost", on_lost, on_all);
  }
  if (!waived("load") && !refused.empty()) return "check load: " + refused;
  auto& e = c.evidence();
  if (!waived("defects") && e.on_defects() >= kLeastDefects) {
    double a =
        static_cast<double>(e.on_defects()) / static_cast<double>(std::max<uint64_t>(e.on_requests(), 1));
    double b =
        static_cast<double>(e.off_defects()) / static_cast<double>(std::max<uint64_t>(e.off_requests(), 1));
    if (a > b * static_cast<double>(r.system.defect_ratio_percent) / 100 + kSlack)
      return fmt::format("check defects: {} of {} requests on it, {} of {} elsewhere", e.on_defects(),
                         e.on_requests(), e.off_defects(), e.off_requests());
  }
  auto probes = e.probes_ok() + e.probes_bad();
  // More than a quarter failed, and more than twice the part that failed elsewhere.
  auto others = e.off_probes_ok() + e.off_probes_bad();
  if (!waived("probes") && probes >= kLeastProbes && e.probes_bad() * 4 > probes &&
      e.probes_bad() * others > 2 * e.off_probes_bad() * probes)
    return fmt::format("check probes: {} of {} failed, {} of {} elsewhere", e.probes_bad(), probes,
                       e.off_probes_bad(), others);
  // Workers' beats that used to come through these nodes stay away, and elsewhere they do not.
  auto usual = e.beats_usual() / 1000, off_usual = e.off_beats_usual() / 1000;
  if (!waived("worker-beats") && usual >= kLeastBeats && e.beats() * 4 < usual &&
      e.off_beats() * 2 > off_usual)
    return fmt::format(
        "check worker-beats: {} came through nodes on it where {} were usual, {} of {} elsewhere", e.beats(),
        usual, e.off_beats(), off_usual);
  return {};
}

std::optional<std::string> wanting(const pb::Course& c, const Rules& r, const pb::Act& act) {
  if (act.waived().count("evidence")) return {};
  auto want = static_cast<uint64_t>(r.system.evidence_requests);
  auto& e = c.evidence();
  if (e.on_requests() < want)
    return fmt::format("too little evidence: {} of {} requests seen in this phase", e.on_requests(), want);
  if (auto probes = e.probes_ok() + e.probes_bad(); probes < kLeastProbes && !act.waived().count("probes"))
    return fmt::format("too little evidence: {} of {} probes seen in this phase", probes, kLeastProbes);
  return {};
}

}  // namespace dunlinwing::rollout
