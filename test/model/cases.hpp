// The runs of the model: bounds, and for each guard the run that breaks without it.
#pragma once
#include <string>
#include <vector>

#include "explorer.hpp"

namespace dunlinwing::test::model {

enum class Size : uint8_t { ci, large };

// One exploration. Without a guard it must find a violation, with all of them none.
struct ModelCase {
  std::string name;
  std::string without;  // the guard left out; empty: all are in place
  Size size = Size::ci;
  Exploration (*run)(const ModelCase&, size_t most_states) = nullptr;
};

std::vector<ModelCase> consensus_cases();
std::vector<ModelCase> lease_cases();

}  // namespace dunlinwing::test::model
