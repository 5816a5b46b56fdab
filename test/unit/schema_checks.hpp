/// @file
/// Checks that the tests of documents with a JSON schema share.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::test {

/// The places of the errors, in their order, each followed by ';'.
std::string error_places(const std::vector<base::ValidationError>& errors);

/// Fails unless every key that the schema knows stands in the page of docs/, as `key`.
void expect_documented(std::string_view schema, const std::string& page);

}  // namespace dunlinwing::test
