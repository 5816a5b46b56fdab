/// @file
/// Orders and settings that no relay may take, of every form in which one can be wrong: beyond the limits of
/// docs/limits.md, cut short, not JSON, not of the schema, or contradicting themselves.
///
/// Pure functions of their arguments.
#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/http.hpp"

namespace dunlinwing::test {

/// A request to the control API that has to be answered with a status from 400 to 499.
struct InvalidOrder {
  std::string form;  ///< what is wrong with it
  base::Request request;
};

/// @param number  of a numbered configuration, above all that are valid in this run
InvalidOrder draw_invalid_order(std::mt19937_64& random, uint64_t number);

/// @return the text of a settings file that a running relay has to ignore
std::string draw_invalid_settings(std::mt19937_64& random);

}  // namespace dunlinwing::test
