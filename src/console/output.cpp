#include "console/output.hpp"

#include <fmt/format.h>

#include <iostream>

namespace dunlinwing::console {

std::string row(const std::vector<Cell>& cells) {
  std::string line;
  for (const auto& cell : cells)
    line += cell.width ? fmt::format("{:<{}} ", cell.text, cell.width) : cell.text;
  while (!line.empty() && line.back() == ' ') line.pop_back();
  return line + "\n";
}

ExitStatus print_reply(const CommandContext& context, const Reply& reply,
                       const std::function<void(const base::Json&)>& print_table) {
  if (reply.status != 200 && reply.status != 202) return report_rejection(reply);
  if (context.json)
    std::cout << reply.text;
  else
    print_table(reply.body);
  return ExitStatus::ok;
}

ExitStatus print_confirmation(const CommandContext& context, const Reply& reply, const std::string& message) {
  return print_reply(context, reply, [&](const base::Json&) { std::cout << message << "\n"; });
}

ExitStatus report_rejection(const Reply& reply) {
  if (reply.status == 0) {
    std::cerr << "console: no seed could be reached\n";
    return ExitStatus::no_answer;
  }
  std::cerr << "console: " << reply.from << " answers " << reply.status << ": "
            << reply.body.at("defect").string_or(reply.text) << "\n";
  for (auto& error : reply.body.at("defects").items())
    std::cerr << "  " << error.at("at").string_or() << " " << error.at("what").string_or() << "\n";
  if (reply.status == 404) return ExitStatus::not_found;
  if (reply.status == 503)
    return reply.outcome_unknown() ? ExitStatus::outcome_unknown : ExitStatus::no_answer;
  return ExitStatus::rejected;
}

ExitStatus report_missing_reason() {
  std::cerr << "console: --reason is required\n";
  return ExitStatus::usage;
}

}  // namespace dunlinwing::console
