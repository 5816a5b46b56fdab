// The steps of the lease models and their descriptions in a trace.
#include "lease.hpp"

#include <algorithm>

namespace dunlinwing::test::model {
namespace {

// Higher ages behave the same, so ages are capped here.
constexpr int kMostWriteAge = longest_full_span(kSpanTicks) + 1;
constexpr int kMostAge = longest_full_span(kBoundTicks) + 1;

void count_down(uint8_t& left) { left = static_cast<uint8_t>(left - (left > 0)); }
void count_up(uint8_t& age, int most) { age = static_cast<uint8_t>(std::min(age + 1, most)); }

uint8_t lease_length(const LeaseGuards& guards, int span, bool counted_from_start, uint8_t age) {
  int longest = guards.three_quarters ? longest_safe_hold(span) : longest_full_span(span);
  return static_cast<uint8_t>(std::max(0, longest - (counted_from_start ? age : 0)));
}

std::string node_name(int node) { return "N" + std::to_string(node + 1); }

}  // namespace

std::string LeaderLease::violation(const State& state) const {
  if (state.nodes[0].lease_left > 0 && state.nodes[1].lease_left > 0) return "two leaders at once";
  if (state.regressed != 0) return "a write of an old leader was accepted after one of its successor";
  return {};
}

// A renewal, or a takeover of a lease that has expired or was never granted.
bool LeaderLease::send_write(State& state, Node& node) const {
  bool leads = node.lease_left > 0;
  if (node.write != Write::none || state.version >= most_versions_) return false;
  if (!leads && node.wait_left > 0) return false;
  node.write = Write::sent;
  node.write_age = 0;
  node.write_expects = node.seen_version;
  node.write_term = static_cast<uint8_t>(leads ? node.lease_term : state.term + 1);
  return true;
}

bool LeaderLease::apply(State& state, Node& node) const {
  if (node.write != Write::sent && node.write != Write::orphaned) return false;
  bool won = state.version == node.write_expects;
  if (won) {
    ++state.version;
    state.term = node.write_term;
  }
  if (won && node.write == Write::sent) {
    node.write = Write::applied;
    return true;
  }
  node.write = Write::none;
  node.write_age = node.write_expects = node.write_term = 0;
  return true;
}

bool LeaderLease::arrive(State& state, Node& node) const {
  if (node.act_term == 0) return false;
  bool old = node.act_term < state.resource_term;
  if (!old || !guards_.fencing_by_term) {
    state.regressed = old;
    state.resource_term = node.act_term;
  }
  node.act_term = 0;
  return true;
}

bool LeaderLease::step(State& state, Kind kind, uint8_t index) const {
  Node& node = state.nodes[index];
  switch (kind) {
    case Kind::tick:
      for (Node& each : state.nodes) {
        count_down(each.lease_left);
        count_down(each.wait_left);
        if (each.write == Write::sent || each.write == Write::applied)
          count_up(each.write_age, kMostWriteAge);
        if (each.lease_left == 0) each.lease_term = 0;
      }
      return true;
    case Kind::see:
      if (node.seen_version == state.version) return false;
      node.seen_version = state.version;
      node.wait_left = shortest_wait(kSpanTicks);
      return true;
    case Kind::send_write:
      return send_write(state, node);
    case Kind::apply:
      return apply(state, node);
    case Kind::reply:
      if (node.write != Write::applied) return false;
      node.lease_left = lease_length(guards_, kSpanTicks, guards_.from_before_write, node.write_age);
      node.lease_term = node.lease_left > 0 ? node.write_term : 0;
      node.seen_version = static_cast<uint8_t>(node.write_expects + 1);
      node.wait_left = shortest_wait(kSpanTicks);
      node.write = Write::none;
      node.write_age = node.write_expects = node.write_term = 0;
      return true;
    case Kind::restart: {
      if (node.write != Write::sent && node.lease_left == 0) return false;
      Node fresh;
      fresh.seen_version = state.version;
      fresh.wait_left = shortest_wait(kSpanTicks);
      fresh.act_term = node.act_term;  // still in flight
      if (node.write == Write::sent || node.write == Write::orphaned) {
        fresh.write = Write::orphaned;
        fresh.write_expects = node.write_expects;
        fresh.write_term = node.write_term;
      }
      node = fresh;
      return true;
    }
    case Kind::act:
      if (node.lease_left == 0 || node.act_term != 0) return false;
      node.act_term = node.lease_term;
      return true;
    case Kind::arrive:
      return arrive(state, node);
  }
  return false;
}

std::string LeaderLease::describe(const State& before, Action action, const State& after) const {
  std::string name = node_name(action.first);
  const Node& was = before.nodes[action.first];
  const Node& is = after.nodes[action.first];
  switch (static_cast<Kind>(action.kind)) {
    case Kind::tick:
      return "a tick passes";
    case Kind::see:
      return name + " sees version " + std::to_string(after.version) + " of the lease";
    case Kind::send_write:
      return name + " sends a write of the lease under term " + std::to_string(is.write_term);
    case Kind::apply:
      return "the write of " + name +
             (before.version == after.version ? " fails: the version has changed" : " is applied");
    case Kind::reply:
      return name + " receives the reply to its write, " + std::to_string(was.write_age) +
             " ticks old, and leads for " + std::to_string(is.lease_left) + " ticks";
    case Kind::restart:
      return name + " restarts";
    case Kind::act:
      return name + " checks that it leads and sends a fenced write under term " +
             std::to_string(is.act_term);
    case Kind::arrive:
      return "the fenced write of " + name + " under term " + std::to_string(was.act_term) + " arrives";
  }
  return {};
}

std::string ReadLease::violation(const State& state) const {
  if (state.lease_left == 0 || state.serving >= state.version) return {};
  return state.age[state.serving + 1u] > kBoundTicks
             ? "a node serves a version that was replaced longer ago than the bound"
             : "";
}

bool ReadLease::step(State& state, Kind kind) const {
  switch (kind) {
    case Kind::tick:
      count_down(state.lease_left);
      if (state.pull != Pull::none) count_up(state.pull_age, kMostAge);
      for (size_t version = 1; version <= state.version; ++version) count_up(state.age[version], kMostAge);
      return true;
    case Kind::acknowledge:
      if (state.version + 1 >= kVersions) return false;
      ++state.version;
      return true;
    case Kind::begin_pull:
      if (state.pull != Pull::none) return false;
      state.pull = Pull::begun;
      return true;
    case Kind::answer:
      if (state.pull != Pull::begun) return false;
      state.pull = Pull::answered;
      state.pulled = state.version;
      return true;
    case Kind::finish_pull:
      if (state.pull != Pull::answered) return false;
      state.serving = state.pulled;
      state.lease_left = lease_length(guards_, kBoundTicks, guards_.from_pull_start, state.pull_age);
      state.pull = Pull::none;
      state.pulled = state.pull_age = 0;
      return true;
  }
  return false;
}

std::string ReadLease::describe(const State& before, Action action, const State& after) const {
  switch (static_cast<Kind>(action.kind)) {
    case Kind::tick:
      return "a tick passes";
    case Kind::acknowledge:
      return "version " + std::to_string(after.version) + " is acknowledged";
    case Kind::begin_pull:
      return "a pull begins";
    case Kind::answer:
      return "a quorum has replied to the pull, with version " + std::to_string(after.pulled);
    case Kind::finish_pull:
      return "the pull finishes after " + std::to_string(before.pull_age) + " ticks; the node serves for " +
             std::to_string(after.lease_left) + " ticks";
  }
  return {};
}

}  // namespace dunlinwing::test::model
