// Draws the control cost of one node by fleet size with gnuplot, as SVG.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

bool draw(const std::vector<Row>& rows, const std::string& file);

}  // namespace dunlinwing::measure
