/// @file
/// Small helpers on text and bytes. Pure functions.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::base {

/// Whether two texts are equal but for the case of ASCII letters.
bool equals_ignore_case(std::string_view left, std::string_view right);

/// The parts between separators, without white space at their ends; empty ones are left out.
std::vector<std::string> split_list(std::string_view text, char separator);

/// The SHA-256 digest of the bytes, in base64.
std::string sha256_base64(std::string_view bytes);

}  // namespace dunlinwing::base
