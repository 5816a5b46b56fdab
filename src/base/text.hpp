/// @file
/// Small helpers for text and bytes. All are pure functions.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::base {

/// Whether two texts are equal, ignoring the case of ASCII letters.
bool equals_ignore_case(std::string_view left, std::string_view right);

/// The text with its ASCII letters in lower case.
std::string lower_case(std::string_view text);

/// The parts between separators, with surrounding white space trimmed; empty parts are skipped.
std::vector<std::string> split_list(std::string_view text, char separator);

/// The SHA-256 digest of the bytes, in base64.
std::string sha256_base64(std::string_view bytes);

}  // namespace dunlinwing::base
