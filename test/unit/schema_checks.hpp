/// @file
/// Checks shared by the tests of documents with a JSON schema.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::test {

/// The JSON pointers of the errors in their order, each followed by ';'.
std::string error_places(const std::vector<base::ValidationError>& errors);

/// Fails unless the page of docs/ mentions every key of the schema, as `key`.
void expect_documented(std::string_view schema, const std::string& page);

}  // namespace dunlinwing::test
