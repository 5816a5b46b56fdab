/// @file
/// The console's output: tables for people or, with --json, the relay's JSON for programs. Results go to
/// standard output, errors to standard error.
#pragma once
#include "console/command_context.hpp"

namespace dunlinwing::console {

/// A cell of a table.
struct Cell {
  std::string text;
  int width = 0;  ///< padded to this many characters and a space; 0: the last cell, as long as its text
};

/// One line of a table, without white space at its end.
std::string row(const std::vector<Cell>& cells);

/// Prints a reply: as received with --json, otherwise by `print_table`; or reports why the request failed.
ExitStatus print_reply(const CommandContext& context, const Reply& reply,
                       const std::function<void(const base::Json&)>& print_table);

/// Like print_reply(), for a requested change.
/// @param message  printed when the change was made
ExitStatus print_confirmation(const CommandContext& context, const Reply& reply, const std::string& message);

/// Reports why a request was not carried out.
ExitStatus report_rejection(const Reply& reply);

/// Reports that a command needs --reason.
ExitStatus report_missing_reason();

}  // namespace dunlinwing::console
