/// @file
/// Divides the memory of a process: a part for the program and the fleet's state, and the account of what
/// requests and responses take (base/memory_account.hpp), of which connections may fill only a part.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace dunlinwing::node {

struct MemoryBudget {
  size_t account = SIZE_MAX;      ///< bytes for requests and responses, connections and cache included
  size_t connections = SIZE_MAX;  ///< bytes of the account that all client connections may take
};

/// @param memory_mb  available to the process, in MiB; 0: not configured
inline MemoryBudget make_memory_budget(double memory_mb) {
  if (memory_mb <= 0) return {};
  constexpr double kBytesPerMegabyte = 1 << 20;
  constexpr double kProgramShare = 0.3;
  constexpr double kMinProgramMegabytes = 24;
  constexpr double kMinAccountMegabytes = 4;
  constexpr size_t kConnectionsDivisor = 2;
  const double program = std::max(kMinProgramMegabytes, memory_mb * kProgramShare);
  const double account = std::max(kMinAccountMegabytes, memory_mb - program) * kBytesPerMegabyte;
  return {static_cast<size_t>(account), static_cast<size_t>(account) / kConnectionsDivisor};
}

}  // namespace dunlinwing::node
