#include "console/commands.hpp"

namespace dunlinwing::console {

const Commands& commands() {
  static const Commands all = [] {
    Commands merged{{"holders",
                     {"holders [list] | add NAME IP:PORT | remove NAME",
                      "who holds the state; changes the set by one machine", 0, 3, replicas}},
                    {"doctor", {"doctor", "says in plain words what is wrong, and where", 0, 0, diagnose}}};
    merged.merge(release_commands());
    merged.merge(fleet_commands());
    return merged;
  }();
  return all;
}

}  // namespace dunlinwing::console
