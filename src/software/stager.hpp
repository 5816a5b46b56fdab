/// @file
/// Updates this machine to the software assigned to it: fetches and verifies it, stages it in the release
/// directory, and terminates the process so that the machine's supervisor starts the staged program. The new
/// program must pass its health checks, otherwise the machine rolls back to the last good one.
///
/// Threads: everything runs in the process's fibers; files are accessed only through the DiskExecutor.
#pragma once
#include "software/artifacts.hpp"

namespace dunlinwing::software {

/// Exit statuses that the supervisor interprets.
inline constexpr int kExitStartNext = 75;  ///< start the program that `next` names
inline constexpr int kExitRollBack = 76;   ///< start the program that `current` names

/// The stager's interface to the node.
struct StagerPorts {
  std::function<std::optional<SoftwareRelease>()> pending_software;  ///< assigned and not running yet
  std::function<void(const std::string&)> report_error;              ///< reports why it cannot be loaded
  std::function<bool()> is_healthy;            ///< has a read lease, and is ready if it has a configuration
  std::function<bool()> too_many_unavailable;  ///< too many nodes are unavailable already
  std::function<void(int)> terminate;          ///< shuts the process down gracefully with the exit status
};

struct StagerOptions {
  std::string release_directory;  ///< empty: this machine can't stage software
  std::string program;            ///< file name of the running executable
  Duration bound;                 ///< the unit of the stager's times
};

class Stager {
 public:
  Stager(base::Ports& ports, Artifacts& artifacts, storage::DiskExecutor& executor, StagerPorts node,
         StagerOptions options);
  ~Stager();

  /// Completes or rolls back what an earlier process staged, then stages the assigned software.
  void start();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with its fiber
};

}  // namespace dunlinwing::software
