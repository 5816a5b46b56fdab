/// @file
/// What the console prints: tables are for people, --json gives programs the relay's own JSON. Results go
/// to standard output, what went wrong to standard error.
#pragma once
#include "console/session.hpp"

namespace dunlinwing::console {

/// A cell of a table.
struct Cell {
  std::string text;
  int width = 0;  ///< padded to so many characters and a space; 0: the last cell, as long as its text
};

/// One line of a table, without white space at its end.
std::string row(const std::vector<Cell>& cells);

/// Prints a reply: as it came with --json, else by `print_table`; or says why there is none.
ExitStatus show(const Session& session, const Reply& reply,
                const std::function<void(const base::Json&)>& print_table);

/// The same for a change that was asked for.
/// @param words  what is said when it was made
ExitStatus show_done(const Session& session, const Reply& reply, const std::string& words);

/// Says why a request was not carried out.
ExitStatus report_rejection(const Reply& reply);

/// Says that a command needs --reason.
ExitStatus report_missing_reason();

}  // namespace dunlinwing::console
