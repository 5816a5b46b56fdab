// Figures of whole simulated deployments with callers: what control costs by size, how
// long statuses takes, and how long there is no service when machines are lost.
#pragma once

namespace dunlinwing::measure {

void grow(int seeds);
void delays(int seeds);

}  // namespace dunlinwing::measure
