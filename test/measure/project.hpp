// From measured slopes to the size to design for, each figure beside its limit.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

std::string slopes(const std::vector<Row>& rows);
std::string roles(const std::vector<Row>& rows);
std::string check(const std::vector<Row>& rows);  // the fit against a run at twice its largest size
std::string figures(const std::vector<Row>& rows);

}  // namespace dunlinwing::measure
