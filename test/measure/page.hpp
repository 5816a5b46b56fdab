// Generates the tables of a page from the rows of all runs: replaces the text between the
// marks <!-- table NAME --> and <!-- end -->.
#pragma once
#include <string>

namespace dunlinwing::measure {

int page(const std::string& csv, const std::string& file, const std::string& plot);

}  // namespace dunlinwing::measure
