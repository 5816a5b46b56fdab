/// @file
/// The version of this program, in a separate file so that a test can link another version.
#include "base/common.hpp"

namespace dunlinwing {

const char* const kSoftwareVersion = "0.1.0";

}  // namespace dunlinwing
