// The users' rules, judged from the diary alone, by the names that they have there.
#pragma once
#include "platform/event_journal.hpp"

namespace dunlinwing::test {

struct Broken {
  std::string rule, what;
};
std::vector<Broken> judge(const Diary& d);

}  // namespace dunlinwing::test
