/// @file
/// The operators' commands, by name. Each states a resource at the fleet's control address or shows some.
#pragma once
#include "console/session.hpp"

namespace dunlinwing::console {

struct Command {
  std::string form;  ///< how it is written, for people
  std::string what;  ///< what it does, for people
  size_t min_arguments;
  size_t max_arguments;
  std::function<ExitStatus(Session&)> run;
};

using Commands = std::map<std::string, Command>;

const Commands& commands();

/// Commands on releases of any kind.
Commands release_commands();
/// Commands that show nodes, workers and other resources, and that move, purge and drain.
Commands fleet_commands();
/// holders: shows the replica set or changes it by one machine.
ExitStatus replicas(Session& session);
/// doctor: looks at everything an operator would look at, and says what is wrong.
ExitStatus diagnose(Session& session);

}  // namespace dunlinwing::console
