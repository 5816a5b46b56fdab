// Makes the tables of a page from the rows of all runs: what stands between the marks
// <!-- table NAME --> and <!-- end --> is written anew.
#pragma once
#include <string>

namespace dunlinwing::measure {

int page(const std::string& csv, const std::string& file, const std::string& plot);

}  // namespace dunlinwing::measure
