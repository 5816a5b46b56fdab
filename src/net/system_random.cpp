#include "net/system_random.hpp"

#include <sys/random.h>

#include <random>

#include "base/log.hpp"

namespace dunlinwing::net {
namespace {
constexpr base::Log logger("wire");
}

uint64_t SystemRandom::draw() {
  thread_local std::mt19937_64 generator = [] {
    uint64_t words[4];
    if (getrandom(words, sizeof words, 0) != sizeof words)
      logger.warn("getrandom() failed to seed the random generator.");
    std::seed_seq seed(std::begin(words), std::end(words));
    return std::mt19937_64(seed);
  }();
  return generator();
}

}  // namespace dunlinwing::net
