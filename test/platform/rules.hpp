// Checks the users' rules, under the users' names for them, from the event journal alone.
#pragma once
#include "platform/event_journal.hpp"

namespace dunlinwing::test {

struct Violation {
  std::string rule, what;
};
std::vector<Violation> judge(const EventJournal& journal);

}  // namespace dunlinwing::test
