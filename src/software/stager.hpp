/// @file
/// Brings this machine to the software it is assigned: fetches and checks it, stages it in the release
/// directory, and asks to end the process so that the machine's supervisor starts the staged program. The
/// program that comes up proves itself or gives way to the last good one.
///
/// Threads: everything runs in the process's fibers; files are touched through the DiskExecutor alone.
#pragma once
#include "software/artifacts.hpp"

namespace dunlinwing::software {

/// Exit statuses that the supervisor knows.
inline constexpr int kStartNext = 75;  ///< start the program that `next` names
inline constexpr int kGoBack = 76;     ///< start the program that `current` names

/// What the stager needs to know of the node, and what it tells it.
struct StagerPorts {
  std::function<std::optional<SoftwareTarget>()> wanted;  ///< what is assigned and does not run here
  std::function<void(const std::string&)> report_error;   ///< why it cannot be loaded
  std::function<bool()> is_healthy;                       ///< ready, fresh, heard of by the others
  std::function<bool()> too_many_restarting;              ///< too many nodes are out already
  std::function<void(int)> terminate;  ///< ends the process in good order, with the exit status
};

struct StagerOptions {
  std::string release_directory;  ///< empty: this machine can stage nothing
  std::string program;            ///< the file name of the program that runs
  Duration bound;                 ///< the unit of the stager's times
};

class Stager {
 public:
  Stager(base::Ports& ports, Artifacts& artifacts, storage::DiskExecutor& executor, StagerPorts node,
         StagerOptions options);
  ~Stager();

  /// Settles what an earlier process staged, then stages what is wanted.
  void start();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with its fiber
};

}  // namespace dunlinwing::software
