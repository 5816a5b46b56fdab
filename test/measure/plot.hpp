// What one node's control costs by size, drawn by gnuplot as SVG.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

bool draw(const std::vector<Row>& rows, const std::string& file);

}  // namespace dunlinwing::measure
