// Projects the measured slopes to the size to design for and compares each figure with its limit.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

std::string slopes(const std::vector<Row>& rows);
std::string roles(const std::vector<Row>& rows);
std::string check(const std::vector<Row>& rows);  // compares the fit with a run at twice its largest size
std::string figures(const std::vector<Row>& rows);

}  // namespace dunlinwing::measure
