// The tables of the page in Markdown, by name.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

std::map<std::string, std::string> tables(const std::vector<Row>& rows);

}  // namespace dunlinwing::measure
