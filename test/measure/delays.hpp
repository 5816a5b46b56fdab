// Measurements of complete simulated deployments with client traffic: the cost of control by
// fleet size, propagation delays, and the time without service when machines fail.
#pragma once

namespace dunlinwing::measure {

void grow(int seeds);
void delays(int seeds);

}  // namespace dunlinwing::measure
