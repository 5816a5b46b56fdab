// Builds the relay with a later version number, as the target of software releases.
#include "base/common.hpp"

namespace dunlinwing {

const char* const kSoftwareVersion = "0.2.0";

}  // namespace dunlinwing
