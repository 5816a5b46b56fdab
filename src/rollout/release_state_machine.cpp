// The phases in their fixed order, and what ends them. The checks themselves
// are in checks.cpp. An assignment never falls back to a lower generation: a
// release that is stopped leaves its nodes by a higher one with the old content.
#include "rollout/release_state_machine.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <set>

#include "rollout/release_checks.hpp"

namespace dunlinwing::rollout {

Duration RolloutRules::hold(const config::Release& r, pb::Phase p) const {
  double ms = static_cast<double>(p == pb::ONE ? r.holds.one.count() : r.holds.two.count());
  if (p == pb::THREE) ms /= 4;  // each zone of the rest
  return Duration(static_cast<int64_t>(ms / scale));
}

bool is_finished(pb::Phase p) { return p == pb::DONE || p == pb::STOPPED || p == pb::WITHDRAWN; }

const pb::ReleaseProgress* active_release(const pb::RolloutState& state, const std::string& kind) {
  for (auto& progress : state.releases())
    if (progress.kind() == kind && progress.phase() != pb::WAITING && !is_finished(progress.phase()))
      return &progress;
  return nullptr;
}

namespace {
constexpr int kPastCourses = 64;

struct Work {
  pb::RolloutState state;
  std::vector<Effect> out;
  const FleetObservation& observation;
  const RolloutRules& rules;
  std::map<std::string, const NodeObservation*> seen;
  bool changed = false;

  Work(const pb::RolloutState& st, const FleetObservation& si, const RolloutRules& ru)
      : state(st), observation(si), rules(ru) {
    for (auto& n : observation.nodes) seen[n.name] = &n;
  }
  void tell(std::string t) { out.push_back(LogEffect{std::move(t)}); }

  // Nodes named change to the release under one new generation.
  void assign(const std::string& kind, const std::map<std::string, std::string>& to) {
    if (to.empty()) return;
    state.set_generation(state.generation() + 1);
    for (auto& [n, rel] : to) {
      auto& assignment = (*state.mutable_nodes())[n];
      if (rel.empty())
        assignment.mutable_releases()->erase(kind);
      else
        (*assignment.mutable_releases())[kind] = rel;
      assignment.set_generation(state.generation());
    }
    changed = true;
  }

  std::string assigned(const std::string& node, const std::string& kind) const {
    auto n = state.nodes().find(node);
    if (n == state.nodes().end()) return {};
    auto f = n->second.releases().find(kind);
    return f == n->second.releases().end() ? std::string() : f->second;
  }

  void join() {
    for (auto& n : observation.nodes) {
      if (!n.present) continue;
      auto f = state.nodes().find(n.name);
      if (f != state.nodes().end() && f->second.zone() == n.zone) continue;
      std::map<std::string, std::map<std::string, int>> count;
      for (auto& [k, a] : state.nodes())
        if (a.zone() == n.zone)
          for (auto& [kind, rel] : a.releases()) ++count[kind][rel];
      state.set_generation(state.generation() + 1);
      pb::NodeAssignment assignment;
      assignment.set_zone(n.zone);
      assignment.set_generation(state.generation());
      for (auto& [kind, rel] : state.in_force()) (*assignment.mutable_releases())[kind] = rel;
      for (auto& [kind, m] : count) {
        auto best =
            std::max_element(m.begin(), m.end(), [](auto& x, auto& y) { return x.second < y.second; });
        auto progress = active_release(state, kind);
        // A zone that is only in part on a release counts as what it was.
        if (progress && best->first == progress->release() && progress->phase() == pb::ONE) continue;
        (*assignment.mutable_releases())[kind] = best->first;
      }
      (*state.mutable_nodes())[n.name] = assignment;
      changed = true;
      tell(fmt::format("Node {} of zone {} joined.", n.name, n.zone));
    }
  }

  void everywhere(pb::ReleaseProgress& progress, const std::string& why) {
    std::map<std::string, std::string> to;
    for (auto& [n, a] : state.nodes()) to[n] = progress.release();
    assign(progress.kind(), to);
    progress.set_phase(pb::DONE);
    progress.set_reason(why);
    (*state.mutable_in_force())[progress.kind()] = progress.release();
    tell(fmt::format("Release {} {} goes to all nodes at once: {}.", progress.kind(), progress.release(),
                     why));
  }

  void leave(pb::ReleaseProgress& progress, pb::Phase to, const std::string& why) {
    std::map<std::string, std::string> back;
    auto force = state.in_force().find(progress.kind());
    std::string def = force == state.in_force().end() ? std::string() : force->second;
    for (auto& [n, a] : state.nodes()) {
      if (assigned(n, progress.kind()) != progress.release()) continue;
      auto b = progress.previous_releases().find(n);
      back[n] = b == progress.previous_releases().end() ? def : b->second;
    }
    assign(progress.kind(), back);
    progress.set_phase(to);
    progress.set_reason(why);
    changed = true;
    tell(fmt::format("Release {} {} is {}: {}. {} nodes go back under generation {}.", progress.kind(),
                     progress.release(), to == pb::STOPPED ? "stopped" : "withdrawn", why, back.size(),
                     state.generation()));
  }

  void enter(pb::ReleaseProgress& progress, pb::Phase p, const std::string& zone) {
    progress.set_phase(p);
    progress.set_zone(zone);
    progress.set_held_ms(0);
    progress.set_lost_ms(0);
    progress.set_settle_ms(0);
    progress.clear_evidence();
    changed = true;
    tell(fmt::format("Release {} {} enters phase {}{}.", progress.kind(), progress.release(),
                     pb::Phase_Name(p), zone.empty() ? "" : " in zone " + zone));
  }

  void put(pb::ReleaseProgress& progress, const std::vector<std::string>& nodes) {
    std::map<std::string, std::string> to;
    for (auto& n : nodes) {
      (*progress.mutable_previous_releases())[n] = assigned(n, progress.kind());
      to[n] = progress.release();
    }
    assign(progress.kind(), to);
  }

  void begin(pb::ReleaseProgress& progress) {
    std::vector<const NodeObservation*> fit;
    for (bool replica_repair : {false, true}) {
      for (auto& n : observation.nodes)
        if (n.present && !n.drained && n.keeps_state == replica_repair && state.nodes().count(n.name))
          fit.push_back(&n);
      if (!fit.empty()) break;
    }
    if (fit.empty()) return progress.set_reason("no node is present");
    auto* m = fit[progress.order() % fit.size()];
    progress.set_first_node(m->name);
    enter(progress, pb::ONE, m->zone);
    progress.clear_completed_zones();
    put(progress, {m->name});
  }

  // Puts the zone's nodes on the release: all that keep no state or leadership at
  // once, those that do one at a time. True when none is left.
  bool spread(pb::ReleaseProgress& progress) {
    std::vector<std::string> plain, replica_repair;
    bool settled = true;
    for (auto& [n, a] : state.nodes()) {
      if (a.zone() != progress.zone()) continue;
      auto f = seen.find(n);
      bool here = f != seen.end() && f->second->present;
      if (assigned(n, progress.kind()) != progress.release())
        (here && f->second->keeps_state ? replica_repair : plain).push_back(n);
      else if (here && !runs_release(*f->second, progress))
        settled = false;
    }
    // Software takes machines out while they restart: a third of a zone at a time.
    if (progress.kind() == "software" && !plain.empty()) {
      size_t zone = 0, out = 0;
      for (auto& [n, a] : state.nodes()) {
        if (a.zone() != progress.zone()) continue;
        ++zone;
        auto f = seen.find(n);
        out += assigned(n, progress.kind()) == progress.release() &&
               (f == seen.end() || !f->second->present || !runs_release(*f->second, progress));
      }
      size_t may = std::max<size_t>(1, zone / 3);
      if (out >= may) return false;
      plain.resize(std::min(plain.size(), may - out));
    }
    if (!plain.empty()) {
      put(progress, plain);
      progress.set_settle_ms(0);
      return false;
    }
    if (replica_repair.empty()) return settled;
    if (settled && Duration(static_cast<int64_t>(progress.settle_ms())) >= rules.settle_time()) {
      put(progress, {replica_repair.front()});
      progress.set_settle_ms(0);
    }
    return false;
  }

  std::vector<std::string> zones_left(const pb::ReleaseProgress& progress) const {
    std::set<std::string> z;
    for (auto& [n, a] : state.nodes())
      if (assigned(n, progress.kind()) != progress.release()) z.insert(a.zone());
    return {z.begin(), z.end()};
  }

  void next(pb::ReleaseProgress& progress) {
    auto left = zones_left(progress);
    std::string home = state.nodes().at(progress.first_node()).zone();
    if (progress.phase() == pb::ONE) {
      std::erase(left, home);
      if (left.empty()) return progress.set_reason("there is no zone without the phase-one machine");
      return enter(progress, pb::TWO, left[progress.order() % left.size()]);
    }
    progress.add_completed_zones(progress.zone());
    if (!left.empty()) {
      // The phase-one machine's own zone comes last.
      auto z = left.front() == home && left.size() > 1 ? left[1] : left.front();
      return enter(progress, pb::THREE, z);
    }
    enter(progress, pb::DONE, "");
    progress.set_reason("it runs everywhere");
    (*state.mutable_in_force())[progress.kind()] = progress.release();
  }

  void drive(pb::ReleaseProgress& progress, const config::Release& rel, const pb::OperatorAction& action) {
    if (!action.withdrawn().empty()) return leave(progress, pb::WITHDRAWN, action.withdrawn());
    if (!action.express().empty()) return everywhere(progress, "express: " + action.express());
    accumulate_evidence(progress, observation, state);
    if (auto bad = failed_check(progress, observation, state, rules, action))
      return leave(progress, pb::STOPPED, *bad);
    progress.set_settle_ms(progress.settle_ms() + static_cast<uint64_t>(observation.elapsed.count()));
    bool whole =
        progress.phase() == pb::ONE ? all_run_release(progress, observation, state) : spread(progress);
    if (!whole) return progress.set_reason("its nodes are still loading it");
    progress.set_held_ms(progress.held_ms() + static_cast<uint64_t>(observation.elapsed.count()));
    Duration left = rules.hold(rel, progress.phase()) - Duration(static_cast<int64_t>(progress.held_ms()));
    if (left > Duration(0))
      return progress.set_reason(
          fmt::format("holding: {} s of the phase are left", (left.count() + 999) / 1000));
    if (auto few = missing_evidence(progress, rules, action)) return progress.set_reason(*few);
    if (!observation.in_quiet_hours && !(progress.phase() == pb::THREE && zones_left(progress).empty()))
      return progress.set_reason("waiting for the quiet hours");
    next(progress);
  }

  void run(const std::string& kind) {
    pb::ReleaseProgress *on = nullptr, *wait = nullptr;
    for (auto& progress : *state.mutable_releases()) {
      if (progress.kind() != kind || is_finished(progress.phase())) continue;
      if (progress.phase() != pb::WAITING)
        on = &progress;
      else if (!wait || progress.order() < wait->order())
        wait = &progress;
    }
    auto act_of = [&](const pb::ReleaseProgress& progress) {
      auto f = observation.operator_actions.find(config::release_key(progress.kind(), progress.release()));
      return f == observation.operator_actions.end() ? pb::OperatorAction() : f->second;
    };
    // A waiting release may be withdrawn, put through by express, or take the place of the one under way.
    for (auto& progress : *state.mutable_releases()) {
      if (progress.kind() != kind || progress.phase() != pb::WAITING) continue;
      auto f = observation.releases.find(config::release_key(kind, progress.release()));
      auto a = act_of(progress);
      if (!a.withdrawn().empty()) {
        progress.set_phase(pb::WITHDRAWN);
        progress.set_reason(a.withdrawn());
        changed = true;
        continue;
      }
      if (f == observation.releases.end()) continue;
      auto ex = !a.express().empty() ? a.express() : f->second.express;
      if (!ex.empty()) {
        if (on) leave(*on, pb::WITHDRAWN, "release " + progress.release() + " was sent by express");
        return everywhere(progress, "express: " + ex);
      }
      if (on && f->second.supersedes == on->release()) {
        leave(*on, pb::WITHDRAWN, "superseded by " + progress.release());
        on = nullptr;
        wait = &progress;
      }
    }
    if (on) {
      auto f = observation.releases.find(config::release_key(kind, on->release()));
      if (f != observation.releases.end()) drive(*on, f->second, act_of(*on));
    } else if (wait && wait->phase() == pb::WAITING) {
      if (!observation.releases.count(config::release_key(kind, wait->release()))) return;
      bool first = kind == "layout" && !state.in_force().count(kind) && !state.nodes().empty();
      if (first) return everywhere(*wait, "the fleet had no layout");
      if (!observation.in_quiet_hours) return wait->set_reason("waiting for the quiet hours");
      begin(*wait);
    }
  }

  // A course that is no longer kept leaves its name in the list in the same write, for its release
  // is still recorded and would be taken for a new one. Once the mark in its act register says
  // the same, the name goes, so that the list grows with what is under way and not with history.
  void forget() {
    auto* names = state.mutable_forgotten();
    names->erase(std::remove_if(names->begin(), names->end(),
                                [&](auto& n) { return observation.forgotten_everywhere.count(n) > 0; }),
                 names->end());
    std::map<std::string, int> n;
    for (int i = state.releases_size() - 1; i >= 0; --i)
      if (is_finished(state.releases(i).phase()) && ++n[state.releases(i).kind()] > kPastCourses) {
        names->Add(state.releases(i).kind() + "/" + state.releases(i).release());
        state.mutable_releases()->DeleteSubrange(i, 1);
      }
  }
};
}  // namespace

StepResult step(const pb::RolloutState& state, const Event& event, const RolloutRules& rules) {
  if (auto* t = as<LeadershipAcquired>(event)) {
    StepResult result{state, {}};
    if (t->term <= state.term()) return result;
    result.state.set_term(t->term);
    result.effects.push_back(PersistEffect{true});
    return result;
  }
  if (auto* rec = as<ReleaseRecorded>(event)) {
    StepResult result{state, {}};
    for (auto& progress : state.releases())
      if (progress.kind() == rec->release.kind && progress.release() == rec->release.name) return result;
    for (auto& f : state.forgotten())
      if (f == rec->release.kind + "/" + rec->release.name) return result;
    auto* progress = result.state.add_releases();
    progress->set_kind(rec->release.kind);
    progress->set_release(rec->release.name);
    progress->set_order(state.next_order());
    result.state.set_next_order(state.next_order() + 1);
    result.effects.push_back(LogEffect{
        fmt::format("Release {} {} is recorded and waits.", progress->kind(), progress->release())});
    result.effects.push_back(PersistEffect{true});
    return result;
  }
  Work w(state, std::get<FleetObservation>(event), rules);
  w.join();
  for (auto* k : config::kKinds) w.run(k);
  w.forget();
  if (w.changed)
    w.out.push_back(PersistEffect{true});
  else if (!google::protobuf::util::MessageDifferencer::Equals(w.state, state))
    w.out.push_back(PersistEffect{false});
  return {std::move(w.state), std::move(w.out)};
}

}  // namespace dunlinwing::rollout
