/// @file
/// Changes the replica set one machine at a time: adding a machine waits until it votes; one is removed only
/// while all that remain vote.
#include <fmt/format.h>

#include <iostream>

#include "console/commands.hpp"
#include "console/output.hpp"

namespace dunlinwing::console {
namespace {
constexpr Duration kVoteInterval{500};  ///< between two checks whether a new replica votes
constexpr int kDefaultWaitSeconds = 60;
constexpr Duration kStatusLimit{2000};  ///< for a replica's response to GET /status

struct ReplicaState {
  std::string name;
  std::string peer_address;
  std::string http_address;  ///< empty: it is not a member now
  bool votes = false;        ///< as it reports
};
using ReplicaStates = std::vector<ReplicaState>;

std::string replica_path(const std::string& name) { return "/v1/holders/" + name; }

std::string http_address(const base::Json& nodes, const std::string& name) {
  std::string address;
  for (auto& node : nodes.items())
    if (node.at("name").string_or() == name && node.at("member").bool_or())
      address = node.at("facts").at("http_address").string_or();
  return address;
}

/// The replica set, and whether each replica reports that its disk votes; or the exit status when that cannot
/// be read, after the error was printed.
std::variant<ReplicaStates, ExitStatus> read_replicas(CommandContext& context) {
  auto set = context.client.get("/v1/holders");
  if (set.status != 200) return report_rejection(set);
  auto nodes = context.client.get("/v1/nodes");
  if (nodes.status != 200) return report_rejection(nodes);
  ReplicaStates states;
  for (auto& replica : set.body.at("holders").items()) {
    ReplicaState state{replica.at("name").string_or(), replica.at("address").string_or(), {}, false};
    state.http_address = http_address(nodes.body.at("nodes"), state.name);
    if (!state.http_address.empty())
      state.votes =
          context.client.get_from(state.http_address, "/status", kStatusLimit).body.at("votes").bool_or();
    states.push_back(state);
  }
  return states;
}

std::string vote_text(const ReplicaState& state) {
  if (state.votes) return "yes";
  return state.http_address.empty() ? "away" : "not yet";
}

ExitStatus list(CommandContext& context) {
  auto result = read_replicas(context);
  if (auto* error = std::get_if<ExitStatus>(&result)) return *error;
  bool all_vote = true;
  std::cout << row({{"HOLDER", 10}, {"PEERS", 22}, {"VOTES", 0}});
  for (auto& state : std::get<ReplicaStates>(result)) {
    std::cout << row({{state.name, 10}, {state.peer_address, 22}, {vote_text(state), 0}});
    all_vote &= state.votes;
  }
  return all_vote ? ExitStatus::ok : ExitStatus::negative;
}

bool is_voting(CommandContext& context, const std::string& name) {
  auto result = read_replicas(context);
  if (auto* states = std::get_if<ReplicaStates>(&result))
    for (auto& state : *states)
      if (state.name == name && state.votes) return true;
  return false;
}

ExitStatus add(CommandContext& context) {
  const auto& name = context.arguments[1];
  auto body = fmt::format(R"({{"holder":true,"address":{}}})", base::quote(context.arguments[2]));
  auto reply = context.client.put(replica_path(name), body);
  if (reply.status != 200) return report_rejection(reply);
  std::cout << name << " holds the state from now on; waiting until its disk is filled and votes\n"
            << std::flush;
  const int seconds = context.wait_seconds ? context.wait_seconds : kDefaultWaitSeconds;
  for (auto end = context.clock.now() + Duration(1000 * seconds); context.clock.now() < end;
       context.clock.sleep(kVoteInterval)) {
    if (!is_voting(context, name)) continue;
    std::cout << name << " votes\n";
    return ExitStatus::ok;
  }
  std::cerr << "console: " << name << " does not vote yet; do not remove another holder before it does\n";
  return ExitStatus::negative;
}

ExitStatus remove(CommandContext& context) {
  const auto& name = context.arguments[1];
  auto result = read_replicas(context);
  if (auto* error = std::get_if<ExitStatus>(&result)) return *error;
  for (auto& state : std::get<ReplicaStates>(result)) {
    if (state.name == name || state.votes) continue;
    std::cerr << "console: " << state.name << " remains a holder but does not vote; wait until it votes\n";
    return ExitStatus::rejected;
  }
  auto reply = context.client.put(replica_path(name), R"({"holder":false})");
  if (reply.status != 200) return report_rejection(reply);
  std::cout << name << " holds the state no more\n";
  return ExitStatus::ok;
}
}  // namespace

ExitStatus replicas(CommandContext& context) {
  const auto& arguments = context.arguments;
  if (arguments.empty() || (arguments[0] == "list" && arguments.size() == 1)) return list(context);
  if (arguments[0] == "add" && arguments.size() == 3) return add(context);
  if (arguments[0] == "remove" && arguments.size() == 2) return remove(context);
  std::cerr << "console: usage: holders [list], holders add NAME IP:PORT, or holders remove NAME\n";
  return ExitStatus::usage;
}

}  // namespace dunlinwing::console
