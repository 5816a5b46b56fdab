/// @file
/// The context of one console command, and its exit status.
#pragma once
#include "console/client.hpp"

namespace dunlinwing::console {

/// The exit statuses of the program; operators' scripts rely on the numbers.
enum class ExitStatus {
  ok = 0,
  negative = 1,  ///< the answer is no: stopped, not done in time, something is wrong
  usage = 2,
  not_found = 3,
  rejected = 4,
  no_answer = 5,
  outcome_unknown = 6,  ///< a change may have been made or not
};

struct CommandContext {
  Client& client;
  base::Clock& clock;
  std::vector<std::string> arguments;  ///< after the command
  bool json = false;                   ///< print the relay's JSON instead of tables
  std::string reason;                  ///< recorded by commands that need a reason; may be empty
  int wait_seconds = 0;                ///< the maximum time to wait; 0: the default of the command
};

}  // namespace dunlinwing::console
