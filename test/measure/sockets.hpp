// Hollow relays that communicate over loopback sockets, all in one process and one thread.
#pragma once
#include "hollow.hpp"
#include "rows.hpp"

namespace dunlinwing::measure {

Figures sockets(Shape s, int seconds);

}  // namespace dunlinwing::measure
