/// @file
/// The operators' commands, by name. Each writes a resource at the fleet's control address or shows
/// resources.
#pragma once
#include "console/command_context.hpp"

namespace dunlinwing::console {

struct Command {
  std::string syntax;       ///< the syntax, for the help text
  std::string description;  ///< what it does, for the help text
  size_t min_arguments;
  size_t max_arguments;
  std::function<ExitStatus(CommandContext&)> run;
};

using Commands = std::map<std::string, Command>;

const Commands& commands();

/// Commands on releases of any kind.
Commands release_commands();
/// Commands that show nodes, backend instances and other resources, and that roll out, purge and drain.
Commands fleet_commands();
/// holders: shows the replica set or changes it by one machine.
ExitStatus replicas(CommandContext& context);
/// doctor: checks everything that an operator would check, and reports what is wrong.
ExitStatus diagnose(CommandContext& context);

}  // namespace dunlinwing::console
