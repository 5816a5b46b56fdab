/// @file
/// The version of this program, alone in its file so that a test can link another.
#include "base/common.hpp"

namespace dunlinwing {

const char* const kSoftware = "0.1.0";

}  // namespace dunlinwing
