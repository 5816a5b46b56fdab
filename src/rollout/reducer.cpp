// The phases in their fixed order, and what ends them. The checks themselves
// are in checks.cpp. An assignment never falls back to a lower generation: a
// release that is stopped leaves its nodes by a higher one with the old content.
#include "rollout/reducer.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <set>

#include "rollout/checks.hpp"

namespace dunlinwing::rollout {

Duration Rules::hold(const Release& r, pb::Phase p) const {
  double ms = static_cast<double>(p == pb::ONE ? r.holds.one.count() : r.holds.two.count());
  if (p == pb::THREE) ms /= 4;  // each zone of the rest
  return Duration(static_cast<int64_t>(ms / scale));
}

bool finished(pb::Phase p) { return p == pb::DONE || p == pb::STOPPED || p == pb::WITHDRAWN; }

const pb::Course* active(const pb::Rollout& s, const std::string& kind) {
  for (auto& c : s.courses())
    if (c.kind() == kind && c.phase() != pb::WAITING && !finished(c.phase())) return &c;
  return nullptr;
}

namespace {
constexpr int kPastCourses = 64;

struct Work {
  pb::Rollout s;
  std::vector<Effect> out;
  const Sight& v;
  const Rules& r;
  std::map<std::string, const NodeSight*> seen;
  bool changed = false;

  Work(const pb::Rollout& st, const Sight& si, const Rules& ru) : s(st), v(si), r(ru) {
    for (auto& n : v.nodes) seen[n.name] = &n;
  }
  void tell(std::string t) { out.push_back(Tell{std::move(t)}); }

  // Nodes named change to the release under one new generation.
  void assign(const std::string& kind, const std::map<std::string, std::string>& to) {
    if (to.empty()) return;
    s.set_generation(s.generation() + 1);
    for (auto& [n, rel] : to) {
      auto& a = (*s.mutable_nodes())[n];
      if (rel.empty())
        a.mutable_releases()->erase(kind);
      else
        (*a.mutable_releases())[kind] = rel;
      a.set_generation(s.generation());
    }
    changed = true;
  }

  std::string assigned(const std::string& node, const std::string& kind) const {
    auto n = s.nodes().find(node);
    if (n == s.nodes().end()) return {};
    auto f = n->second.releases().find(kind);
    return f == n->second.releases().end() ? std::string() : f->second;
  }

  void join() {
    for (auto& n : v.nodes) {
      if (!n.present) continue;
      auto f = s.nodes().find(n.name);
      if (f != s.nodes().end() && f->second.zone() == n.zone) continue;
      std::map<std::string, std::map<std::string, int>> count;
      for (auto& [k, a] : s.nodes())
        if (a.zone() == n.zone)
          for (auto& [kind, rel] : a.releases()) ++count[kind][rel];
      s.set_generation(s.generation() + 1);
      pb::NodeAssign a;
      a.set_zone(n.zone);
      a.set_generation(s.generation());
      for (auto& [kind, rel] : s.in_force()) (*a.mutable_releases())[kind] = rel;
      for (auto& [kind, m] : count) {
        auto best =
            std::max_element(m.begin(), m.end(), [](auto& x, auto& y) { return x.second < y.second; });
        auto c = active(s, kind);
        // A zone that is only in part on a release counts as what it was.
        if (c && best->first == c->release() && c->phase() == pb::ONE) continue;
        (*a.mutable_releases())[kind] = best->first;
      }
      (*s.mutable_nodes())[n.name] = a;
      changed = true;
      tell(fmt::format("Node {} of zone {} joined.", n.name, n.zone));
    }
  }

  void everywhere(pb::Course& c, const std::string& why) {
    std::map<std::string, std::string> to;
    for (auto& [n, a] : s.nodes()) to[n] = c.release();
    assign(c.kind(), to);
    c.set_phase(pb::DONE);
    c.set_why(why);
    (*s.mutable_in_force())[c.kind()] = c.release();
    tell(fmt::format("Release {} {} goes to all nodes at once: {}.", c.kind(), c.release(), why));
  }

  void leave(pb::Course& c, pb::Phase to, const std::string& why) {
    std::map<std::string, std::string> back;
    auto force = s.in_force().find(c.kind());
    std::string def = force == s.in_force().end() ? std::string() : force->second;
    for (auto& [n, a] : s.nodes()) {
      if (assigned(n, c.kind()) != c.release()) continue;
      auto b = c.before().find(n);
      back[n] = b == c.before().end() ? def : b->second;
    }
    assign(c.kind(), back);
    c.set_phase(to);
    c.set_why(why);
    changed = true;
    tell(fmt::format("Release {} {} is {}: {}. {} nodes go back under generation {}.", c.kind(), c.release(),
                     to == pb::STOPPED ? "stopped" : "withdrawn", why, back.size(), s.generation()));
  }

  void enter(pb::Course& c, pb::Phase p, const std::string& zone) {
    c.set_phase(p);
    c.set_zone(zone);
    c.set_held_ms(0);
    c.set_lost_ms(0);
    c.set_settle_ms(0);
    c.clear_evidence();
    changed = true;
    tell(fmt::format("Release {} {} enters phase {}{}.", c.kind(), c.release(), pb::Phase_Name(p),
                     zone.empty() ? "" : " in zone " + zone));
  }

  void put(pb::Course& c, const std::vector<std::string>& nodes) {
    std::map<std::string, std::string> to;
    for (auto& n : nodes) {
      (*c.mutable_before())[n] = assigned(n, c.kind());
      to[n] = c.release();
    }
    assign(c.kind(), to);
  }

  void begin(pb::Course& c) {
    std::vector<const NodeSight*> fit;
    for (bool replica_repair : {false, true}) {
      for (auto& n : v.nodes)
        if (n.present && !n.drained && n.keeper == replica_repair && s.nodes().count(n.name))
          fit.push_back(&n);
      if (!fit.empty()) break;
    }
    if (fit.empty()) return c.set_why("no node is present");
    auto* m = fit[c.order() % fit.size()];
    c.set_machine(m->name);
    enter(c, pb::ONE, m->zone);
    c.clear_zones_done();
    put(c, {m->name});
  }

  // Puts the zone's nodes on the release: all that keep no state or leadership at
  // once, those that do one at a time. True when none is left.
  bool spread(pb::Course& c) {
    std::vector<std::string> plain, replica_repair;
    bool settled = true;
    for (auto& [n, a] : s.nodes()) {
      if (a.zone() != c.zone()) continue;
      auto f = seen.find(n);
      bool here = f != seen.end() && f->second->present;
      if (assigned(n, c.kind()) != c.release())
        (here && f->second->keeper ? replica_repair : plain).push_back(n);
      else if (here && !runs(*f->second, c))
        settled = false;
    }
    // Software takes machines out while they restart: a third of a zone at a time.
    if (c.kind() == "software" && !plain.empty()) {
      size_t zone = 0, out = 0;
      for (auto& [n, a] : s.nodes()) {
        if (a.zone() != c.zone()) continue;
        ++zone;
        auto f = seen.find(n);
        out += assigned(n, c.kind()) == c.release() &&
               (f == seen.end() || !f->second->present || !runs(*f->second, c));
      }
      size_t may = std::max<size_t>(1, zone / 3);
      if (out >= may) return false;
      plain.resize(std::min(plain.size(), may - out));
    }
    if (!plain.empty()) {
      put(c, plain);
      c.set_settle_ms(0);
      return false;
    }
    if (replica_repair.empty()) return settled;
    if (settled && Duration(static_cast<int64_t>(c.settle_ms())) >= r.settle()) {
      put(c, {replica_repair.front()});
      c.set_settle_ms(0);
    }
    return false;
  }

  std::vector<std::string> zones_left(const pb::Course& c) const {
    std::set<std::string> z;
    for (auto& [n, a] : s.nodes())
      if (assigned(n, c.kind()) != c.release()) z.insert(a.zone());
    return {z.begin(), z.end()};
  }

  void next(pb::Course& c) {
    auto left = zones_left(c);
    std::string home = s.nodes().at(c.machine()).zone();
    if (c.phase() == pb::ONE) {
      std::erase(left, home);
      if (left.empty()) return c.set_why("there is no zone without the phase-one machine");
      return enter(c, pb::TWO, left[c.order() % left.size()]);
    }
    c.add_zones_done(c.zone());
    if (!left.empty()) {
      // The phase-one machine's own zone comes last.
      auto z = left.front() == home && left.size() > 1 ? left[1] : left.front();
      return enter(c, pb::THREE, z);
    }
    enter(c, pb::DONE, "");
    c.set_why("it runs everywhere");
    (*s.mutable_in_force())[c.kind()] = c.release();
  }

  void drive(pb::Course& c, const Release& rel, const pb::Act& act) {
    if (!act.withdrawn().empty()) return leave(c, pb::WITHDRAWN, act.withdrawn());
    if (!act.express().empty()) return everywhere(c, "express: " + act.express());
    gather(c, v, s);
    if (auto bad = failed(c, v, s, r, act)) return leave(c, pb::STOPPED, *bad);
    c.set_settle_ms(c.settle_ms() + static_cast<uint64_t>(v.dt.count()));
    bool whole = c.phase() == pb::ONE ? runs_all(c, v, s) : spread(c);
    if (!whole) return c.set_why("its nodes are still loading it");
    c.set_held_ms(c.held_ms() + static_cast<uint64_t>(v.dt.count()));
    Duration left = r.hold(rel, c.phase()) - Duration(static_cast<int64_t>(c.held_ms()));
    if (left > Duration(0))
      return c.set_why(fmt::format("holding: {} s of the phase are left", (left.count() + 999) / 1000));
    if (auto few = wanting(c, r, act)) return c.set_why(*few);
    if (!v.quiet && !(c.phase() == pb::THREE && zones_left(c).empty()))
      return c.set_why("waiting for the quiet hours");
    next(c);
  }

  void run(const std::string& kind) {
    pb::Course *on = nullptr, *wait = nullptr;
    for (auto& c : *s.mutable_courses()) {
      if (c.kind() != kind || finished(c.phase())) continue;
      if (c.phase() != pb::WAITING)
        on = &c;
      else if (!wait || c.order() < wait->order())
        wait = &c;
    }
    auto act_of = [&](const pb::Course& c) {
      auto f = v.acts.find(release_key(c.kind(), c.release()));
      return f == v.acts.end() ? pb::Act() : f->second;
    };
    // A waiting release may be withdrawn, put through by express, or take the place of the one under way.
    for (auto& c : *s.mutable_courses()) {
      if (c.kind() != kind || c.phase() != pb::WAITING) continue;
      auto f = v.releases.find(release_key(kind, c.release()));
      auto a = act_of(c);
      if (!a.withdrawn().empty()) {
        c.set_phase(pb::WITHDRAWN);
        c.set_why(a.withdrawn());
        changed = true;
        continue;
      }
      if (f == v.releases.end()) continue;
      auto ex = !a.express().empty() ? a.express() : f->second.express;
      if (!ex.empty()) {
        if (on) leave(*on, pb::WITHDRAWN, "release " + c.release() + " was sent by express");
        return everywhere(c, "express: " + ex);
      }
      if (on && f->second.supersedes == on->release()) {
        leave(*on, pb::WITHDRAWN, "superseded by " + c.release());
        on = nullptr;
        wait = &c;
      }
    }
    if (on) {
      auto f = v.releases.find(release_key(kind, on->release()));
      if (f != v.releases.end()) drive(*on, f->second, act_of(*on));
    } else if (wait && wait->phase() == pb::WAITING) {
      if (!v.releases.count(release_key(kind, wait->release()))) return;
      bool first = kind == "layout" && !s.in_force().count(kind) && !s.nodes().empty();
      if (first) return everywhere(*wait, "the fleet had no layout");
      if (!v.quiet) return wait->set_why("waiting for the quiet hours");
      begin(*wait);
    }
  }

  // A course that is no longer kept leaves its name in the list in the same write, for its release
  // is still recorded and would be taken for a new one. Once the mark in its act register says
  // the same, the name goes, so that the list grows with what is under way and not with history.
  void forget() {
    auto* names = s.mutable_forgotten();
    names->erase(std::remove_if(names->begin(), names->end(), [&](auto& n) { return v.marked.count(n) > 0; }),
                 names->end());
    std::map<std::string, int> n;
    for (int i = s.courses_size() - 1; i >= 0; --i)
      if (finished(s.courses(i).phase()) && ++n[s.courses(i).kind()] > kPastCourses) {
        names->Add(s.courses(i).kind() + "/" + s.courses(i).release());
        s.mutable_courses()->DeleteSubrange(i, 1);
      }
  }
};
}  // namespace

Outcome step(const pb::Rollout& s, const Event& e, const Rules& r) {
  if (auto* t = as<TookDuty>(e)) {
    Outcome o{s, {}};
    if (t->term <= s.term()) return o;
    o.state.set_term(t->term);
    o.effects.push_back(Save{true});
    return o;
  }
  if (auto* rec = as<Recorded>(e)) {
    Outcome o{s, {}};
    for (auto& c : s.courses())
      if (c.kind() == rec->release.kind && c.release() == rec->release.name) return o;
    for (auto& f : s.forgotten())
      if (f == rec->release.kind + "/" + rec->release.name) return o;
    auto* c = o.state.add_courses();
    c->set_kind(rec->release.kind);
    c->set_release(rec->release.name);
    c->set_order(s.next_order());
    o.state.set_next_order(s.next_order() + 1);
    o.effects.push_back(Tell{fmt::format("Release {} {} is recorded and waits.", c->kind(), c->release())});
    o.effects.push_back(Save{true});
    return o;
  }
  Work w(s, std::get<Sight>(e), r);
  w.join();
  for (auto* k : kKinds) w.run(k);
  w.forget();
  if (w.changed)
    w.out.push_back(Save{true});
  else if (!google::protobuf::util::MessageDifferencer::Equals(w.s, s))
    w.out.push_back(Save{false});
  return {std::move(w.s), std::move(w.out)};
}

}  // namespace dunlinwing::rollout
