// Models of leases with explicit time. They assume atomic registers, which the
// consensus model checks.
//
// Time passes in ticks. A span measured by a clock lasts between its nominal
// length times (1 - drift) and times (1 + drift). The model uses the longest
// span for a node that relies on it and the shortest for a node that waits for
// it. A frozen node is one whose steps are delayed.
#pragma once
#include <array>

#include "explorer.hpp"

namespace dunlinwing::test::model {

struct LeaseGuards {
  bool from_before_write = true;  // the holder counts its lease from before the write that granted it
  bool from_pull_start = true;    // a read lease is counted from the start of the pull
  bool three_quarters = true;     // the holder uses only three quarters of the span of either lease
  bool fencing_by_term = true;    // a write under a lower term than the last is rejected
};

inline constexpr int kSpanTicks = 8;     // of a leader lease
inline constexpr int kBoundTicks = 16;   // of staleness, which a read lease enforces
inline constexpr int kDriftDivisor = 8;  // clocks drift by one part in this many

// The longest duration of three quarters of a span, and of the full span, for a node that relies on it.
constexpr int longest_safe_hold(int span) { return span * 3 / 4 * kDriftDivisor / (kDriftDivisor - 1); }
constexpr int longest_full_span(int span) { return span * kDriftDivisor / (kDriftDivisor - 1); }
// The shortest duration of the full span for a node that waits for it, in whole ticks.
constexpr int shortest_wait(int span) { return (span * kDriftDivisor + kDriftDivisor) / (kDriftDivisor + 1); }

// Two candidates for one leader lease, and a resource to which both write under their terms.
class LeaderLease {
 public:
  enum class Write : uint8_t { none, sent, applied, orphaned };
  struct Node {
    uint8_t lease_left = 0;  // ticks for which it may still act
    uint8_t lease_term = 0;
    Write write = Write::none;  // of the lease register; orphaned: its sender has restarted
    uint8_t write_age = 0;
    uint8_t write_expects = 0;  // the version, for the compare-and-set
    uint8_t write_term = 0;
    uint8_t seen_version = 0;
    uint8_t wait_left = 0;  // ticks until it may take the lease over
    uint8_t act_term = 0;   // of a fenced write in flight; 0: none
  };
  struct State {
    std::array<Node, 2> nodes;
    uint8_t version = 0, term = 0;  // of the lease register
    uint8_t resource_term = 0;      // of the last write that the resource accepted
    uint8_t regressed = 0;          // it accepted a write of a lower term than the previous one
  };
  enum class Kind : uint8_t { tick, see, send_write, apply, reply, restart, act, arrive };

  explicit LeaderLease(LeaseGuards guards, int most_versions)
      : guards_(guards), most_versions_(most_versions) {}
  State initial() const { return {}; }
  State canonical(const State& state) const { return state; }
  std::string violation(const State& state) const;
  std::string describe(const State& before, Action action, const State& after) const;
  template <class Visit>
  void each_step(const State& state, Visit visit) const {
    for (Kind kind : {Kind::tick, Kind::see, Kind::send_write, Kind::apply, Kind::reply, Kind::restart,
                      Kind::act, Kind::arrive})
      for (uint8_t node = 0; node < (kind == Kind::tick ? 1 : 2); ++node) {
        State after = state;
        if (step(after, kind, node)) visit(Action{static_cast<uint8_t>(kind), node}, after);
      }
  }

 private:
  bool step(State& state, Kind kind, uint8_t node) const;  // false: not enabled
  bool send_write(State& state, Node& node) const;
  bool apply(State& state, Node& node) const;
  bool arrive(State& state, Node& node) const;

  LeaseGuards guards_;
  int most_versions_;
};

// A node that serves the last version it pulled until its read lease expires.
class ReadLease {
 public:
  enum class Pull : uint8_t { none, begun, answered };
  static constexpr int kVersions = 3;
  struct State {
    Pull pull = Pull::none;
    uint8_t pull_age = 0;
    uint8_t pulled = 0;   // the version that the pull returned
    uint8_t serving = 0;  // the version that the node serves
    uint8_t lease_left = 0;
    uint8_t version = 0;                   // the latest acknowledged
    std::array<uint8_t, kVersions> age{};  // ticks since each version was acknowledged
  };
  enum class Kind : uint8_t { tick, acknowledge, begin_pull, answer, finish_pull };

  explicit ReadLease(LeaseGuards guards) : guards_(guards) {}
  State initial() const { return {}; }
  State canonical(const State& state) const { return state; }
  std::string violation(const State& state) const;
  std::string describe(const State& before, Action action, const State& after) const;
  template <class Visit>
  void each_step(const State& state, Visit visit) const {
    for (Kind kind : {Kind::tick, Kind::acknowledge, Kind::begin_pull, Kind::answer, Kind::finish_pull}) {
      State after = state;
      if (step(after, kind)) visit(Action{static_cast<uint8_t>(kind)}, after);
    }
  }

 private:
  bool step(State& state, Kind kind) const;  // false: not enabled
  LeaseGuards guards_;
};

}  // namespace dunlinwing::test::model
