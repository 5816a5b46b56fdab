// A breadth-first explicit-state explorer.
//
// It visits every reachable state of a model and stops at the first that violates
// a rule, so its trace is a shortest one. Visited states are stored as 64-bit
// fingerprints of their canonical form (docs/model.md gives the probability of a
// collision); complete states are stored only for the current level.
//
// A Model has:
//   State                               a trivially copyable struct without padding
//   State initial() const
//   template <class Visit> void each_step(const State&, Visit) const
//                                       calls visit(Action, const State& after) for every enabled step
//   State canonical(const State&) const one representative of each class of symmetric states
//   std::string violation(const State&) const   empty when every rule holds
//   std::string describe(const State& before, Action, const State& after) const
#pragma once
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <string>
#include <type_traits>
#include <vector>

namespace dunlinwing::test::model {

// Identifies a step in the trace: its kind and up to three operands.
struct Action {
  uint8_t kind = 0, first = 0, second = 0, third = 0;
};

template <class State>
uint64_t fingerprint(const State& state) {
  static_assert(std::has_unique_object_representations_v<State>, "padding would be hashed");
  const auto* bytes = reinterpret_cast<const unsigned char*>(&state);
  constexpr uint64_t kMultiplier = 0x9E3779B97F4A7C15u;
  uint64_t hash = sizeof(State) * kMultiplier;
  for (size_t at = 0; at < sizeof(State); at += sizeof(uint64_t)) {
    uint64_t word = 0;
    std::memcpy(&word, bytes + at, std::min(sizeof(word), sizeof(State) - at));
    auto product = static_cast<unsigned __int128>(hash ^ word) * (kMultiplier + 2 * at);
    hash = static_cast<uint64_t>(product) ^ static_cast<uint64_t>(product >> 64) ^ (hash << 1 | hash >> 63);
  }
  return hash == 0 ? 1 : hash;  // 0 marks a free slot in the table
}

// A hash set of fingerprints with open addressing.
class FingerprintTable {
 public:
  FingerprintTable() : places_(kFirstPlaces) {}
  bool insert(uint64_t fingerprint) {
    if (count_ * 2 >= places_.size()) grow();
    if (!put(places_, fingerprint)) return false;
    ++count_;
    return true;
  }
  size_t size() const { return count_; }

 private:
  static constexpr size_t kFirstPlaces = size_t{1} << 16;
  static bool put(std::vector<uint64_t>& places, uint64_t fingerprint) {
    size_t mask = places.size() - 1;
    size_t place = fingerprint & mask;
    while (places[place] != 0 && places[place] != fingerprint) place = (place + 1) & mask;
    if (places[place] == fingerprint) return false;
    places[place] = fingerprint;
    return true;
  }
  void grow() {
    std::vector<uint64_t> larger(places_.size() * 2);
    for (uint64_t fingerprint : places_)
      if (fingerprint != 0) put(larger, fingerprint);
    places_.swap(larger);
  }
  std::vector<uint64_t> places_;
  size_t count_ = 0;
};

struct Exploration {
  size_t states = 0;
  size_t depth = 0;
  double seconds = 0;
  bool complete = false;           // every reachable state was visited
  std::string violation;           // empty when no rule was violated
  std::vector<std::string> trace;  // the steps to the violation
};

template <class Model>
class Explorer {
 public:
  using State = typename Model::State;
  Explorer(const Model& model, size_t most_states) : model_(model), most_states_(most_states) {}

  Exploration run() {
    auto start = std::chrono::steady_clock::now();
    State first = model_.canonical(model_.initial());
    add(fingerprint(first), kNoParent);
    level_ = {first};
    level_numbers_ = {0};
    while (!level_.empty() && result_.violation.empty() && visited_.size() < most_states_) expand_level();
    result_.complete = level_.empty() && result_.violation.empty();
    result_.states = visited_.size();
    result_.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    return result_;
  }

 private:
  static constexpr uint32_t kNoParent = UINT32_MAX;

  bool add(uint64_t print, uint32_t parent) {
    if (!visited_.insert(print)) return false;
    prints_.push_back(print);
    parents_.push_back(parent);
    return true;
  }

  void expand_level() {
    std::vector<State> next;
    std::vector<uint32_t> next_numbers;
    for (size_t i = 0; i < level_.size() && result_.violation.empty(); ++i) {
      model_.each_step(level_[i], [&](Action, const State& after) {
        if (!result_.violation.empty()) return;
        State state = model_.canonical(after);
        if (!add(fingerprint(state), level_numbers_[i])) return;
        next.push_back(state);
        next_numbers.push_back(static_cast<uint32_t>(prints_.size() - 1));
        result_.violation = model_.violation(state);
        if (!result_.violation.empty()) result_.trace = trace_to(next_numbers.back());
      });
    }
    level_.swap(next);
    level_numbers_.swap(next_numbers);
    if (!level_.empty()) ++result_.depth;
  }

  // Replays the run from the initial state, so that replicas keep their names although the visited states are
  // canonical.
  std::vector<std::string> trace_to(uint32_t last) const {
    std::vector<uint64_t> path;
    for (uint32_t at = last; at != kNoParent; at = parents_[at]) path.push_back(prints_[at]);
    std::reverse(path.begin(), path.end());
    std::vector<std::string> lines;
    State state = model_.initial();
    for (size_t i = 1; i < path.size(); ++i) {
      State before = state;
      bool found = false;
      model_.each_step(before, [&](Action action, const State& after) {
        if (found || fingerprint(model_.canonical(after)) != path[i]) return;
        found = true;
        state = after;
        lines.push_back(model_.describe(before, action, after));
      });
    }
    return lines;
  }

  const Model& model_;
  size_t most_states_;
  FingerprintTable visited_;
  std::vector<uint64_t> prints_;
  std::vector<uint32_t> parents_;
  std::vector<State> level_;
  std::vector<uint32_t> level_numbers_;
  Exploration result_;
};

}  // namespace dunlinwing::test::model
