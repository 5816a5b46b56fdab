// The cases of the model: one for each set of bounds, and one for each guard, which fails without it.
#pragma once
#include <string>
#include <vector>

#include "explorer.hpp"

namespace dunlinwing::test::model {

enum class Size : uint8_t { ci, large };

// One exploration. It must find a violation when a guard is left out, and none with all guards.
struct ModelCase {
  std::string name;
  std::string without;  // the guard left out; empty: all are in place
  Size size = Size::ci;
  Exploration (*run)(const ModelCase&, size_t most_states) = nullptr;
};

std::vector<ModelCase> consensus_cases();
std::vector<ModelCase> lease_cases();

}  // namespace dunlinwing::test::model
