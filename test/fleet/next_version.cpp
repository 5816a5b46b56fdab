// The relay once more as a later version, for software releases to go to.
#include "base/common.hpp"

namespace dunlinwing {

const char* const kSoftware = "0.2.0";

}  // namespace dunlinwing
