// The operators' commands, by name.
#pragma once
#include "console/client.hpp"

namespace dunlinwing::console {

// Exit statuses.
inline constexpr int kOk = 0, kNegative = 1, kUsage = 2, kNotFound = 3, kRejected = 4, kNoAnswer = 5,
                     kOutcomeUnknown = 6;

struct Session {
  Client& link;
  base::Clock& clock;
  std::vector<std::string> args;  // after the command
  bool json = false;
  std::string reason;
  int wait_s = 0;
};

struct Command {
  std::string form, what;
  size_t least, most;  // arguments
  std::function<int(Session&)> run;
};

const std::map<std::string, Command>& commands();
int diagnose(Session& s);
int replicas(Session& s);
int report_rejection(const Reply& r);  // says why, and gives the exit status
std::string row(const std::vector<std::pair<std::string, int>>& cells);

}  // namespace dunlinwing::console
