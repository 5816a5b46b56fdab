// An order is acknowledged once it is recorded. The same order again is the same move,
// while it runs and after it; another takes its place unless it is being switched.
#include "control_api/moves.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "control_api/schemas.hpp"
#include "rollout/versions.hpp"

namespace dunlinwing::control_api {
namespace {
base::Response told(const pb::ServiceState& s, uint64_t version) {
  return json(
      200,
      fmt::format(
          R"({{"state":{},"version":{},"why":{},"within_ms":{},"asked_ms_ago":{},"good":{},"bad":{}}})",
          base::quote(rollout::outcome(s)), base::quote(s.asked()), base::quote(s.why()), s.within_ms(),
          s.held_ms(), s.good(), s.bad()),
      version);
}
}  // namespace

base::Response of(consensus::RegisterError d) {
  return d == consensus::RegisterError::no_majority
             ? defect(503, "no majority of the holders answers; nothing was recorded")
             : defect(503,
                      "the fate of this write is unknown: it may or may not be recorded. Read before trying "
                      "again.");
}

base::Response move(relay::Node& n, Call& c) {
  auto f = n.state_cache().chosen().find(rollout::service_key(c.path[2]));
  pb::ServiceState s;
  if (f != n.state_cache().chosen().end()) s.ParseFromString(f->second.data);
  if (rollout::outcome(s).empty()) return defect(404, "no move of this service was ever asked for");
  return told(s, f->second.version);
}

base::Response put_move(base::Ports& ps, relay::Node& n, Call& c) {
  auto p = base::Json::parse(c.q.body);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return defects({*d});
  auto& j = std::get<base::Json>(p);
  auto ds = term_schema().check(j);
  if (!ds.empty()) return defects(ds);
  auto name = c.path[2], to = j.at("version").str();
  Duration within(j.at("within_ms").num());
  auto t = n.traffic().table();
  const traffic::Service* s = nullptr;
  if (t->layout)
    if (auto f = t->layout->services.find(name); f != t->layout->services.end()) s = &f->second;
  if (!s) return defect(404, "the layout in force here has no such service");
  if (!s->versions.empty() && std::find(s->versions.begin(), s->versions.end(), to) == s->versions.end())
    return defects({{"/version", "the layout in force does not allow this version"}});
  auto key = rollout::service_key(name);
  auto g = n.registers().read(key);
  for (int i = 0; i < 8; ++i) {
    if (auto* d = std::get_if<consensus::RegisterError>(&g)) return of(*d);
    auto now = std::get<consensus::VersionedValue>(g);
    if (auto x = precondition(c.q, now.version)) return *x;
    pb::ServiceState st;
    st.ParseFromString(now.data);
    bool lift = j.at("lift_quarantine").flag(), runs = !st.trial().empty() && st.within_ms();
    if (st.asked() == to &&
        (runs ? st.trial() == to : !lift && (st.quarantined().count(to) || st.current() == to)))
      return told(st, now.version);
    if (runs && st.switching())
      return defect(
          409, "the service is being switched to version " + st.trial() + "; ask again when that has ended");
    if (st.current().empty())
      st.set_current(s->versions.empty()
                         ? rollout::commonest(n.state_cache().statuses().workers(ps.clock.now()), name, to)
                         : s->versions.front());
    if (lift) st.mutable_quarantined()->erase(to);
    if (st.quarantined().count(to) || st.current() == to) {
      bool good = st.current() == to;
      rollout::drop_trial(st);
      st.set_asked(to);
      st.set_within_ms(static_cast<uint64_t>(within.count()));
      st.set_outcome(good ? "completed" : "rolled_back");
      st.set_why(good ? "it is in place" : "the version is in quarantine: " + st.quarantined().at(to));
    } else {
      rollout::open_trial(st, to, within, s->deadline);
    }
    auto w = n.registers().write(key, now.version, st.SerializeAsString());
    if (auto* h = std::get_if<consensus::VersionedValue>(&w)) return told(st, h->version);
    if (auto* d = std::get_if<consensus::RegisterError>(&w)) return of(*d);
    g = std::get<consensus::VersionConflict>(w).now;
  }
  return json(412, R"({"defect":"other writes came first; ask again"})");
}

}  // namespace dunlinwing::control_api
