// The users' rules, judged from the diary alone, by the names that they have there.
#pragma once
#include "platform/event_journal.hpp"

namespace dunlinwing::test {

struct Violation {
  std::string rule, what;
};
std::vector<Violation> judge(const EventJournal& journal);

}  // namespace dunlinwing::test
