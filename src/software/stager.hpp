// Brings this machine to the software it is assigned: fetches and checks it,
// stages it in the release folder, and asks to end the process so that the
// machine's supervisor starts the staged program. The program that comes up
// proves itself or gives way to the last good one.
#pragma once
#include "software/artifacts.hpp"

namespace dunlinwing::software {

// Exit statuses that a supervisor knows.
inline constexpr int kStartNext = 75;  // start the program that `next` names
inline constexpr int kGoBack = 76;     // start the program that `current` names

struct StagerPorts {
  std::function<std::optional<SoftwareTarget>()> wanted;  // what is assigned and does not run here
  std::function<void(const std::string&)> report_error;   // why it cannot be loaded
  std::function<bool()> is_healthy;                       // ready, fresh, heard of by the others
  std::function<bool()> too_many_restarting;              // too many nodes are out already
  std::function<void(int)> terminate;                     // ends the process in good order
};

class Stager {
 public:
  Stager(base::Ports& ports, Artifacts& a, storage::DiskExecutor& h, StagerPorts sp, std::string dir,
         std::string program, Duration bound);
  ~Stager();
  void start();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::software
