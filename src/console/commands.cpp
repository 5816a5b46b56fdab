#include "console/commands.hpp"

namespace dunlinwing::console {

const Commands& commands() {
  static const Commands all = [] {
    Commands merged{{"holders",
                     {"holders [list] | add NAME IP:PORT | remove NAME",
                      "lists, adds or removes the machines that store the state", 0, 3, replicas}},
                    {"doctor", {"doctor", "reports what is wrong in the fleet, and where", 0, 0, diagnose}}};
    merged.merge(release_commands());
    merged.merge(fleet_commands());
    return merged;
  }();
  return all;
}

}  // namespace dunlinwing::console
