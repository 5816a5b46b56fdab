// The set of holders, one machine at a time: a machine is added, and waited for until
// it votes; one is taken out only while those that stay all vote.
#include <fmt/format.h>

#include <iostream>

#include "console/commands.hpp"

namespace dunlinwing::console {
namespace {
constexpr Duration kLook{500};
constexpr int kWaitSeconds = 60;

struct Seat {
  std::string name, peers, http;
  bool votes = false;
};

// Who holds the state, and whether each says that its disk votes.
std::variant<std::vector<Seat>, int> seats(Session& s) {
  auto set = s.link.get("/v1/holders");
  if (set.status != 200) return report_rejection(set);
  auto ns = s.link.get("/v1/nodes");
  if (ns.status != 200) return report_rejection(ns);
  std::vector<Seat> out;
  for (auto& h : set.body.at("holders").items()) {
    Seat x{h.at("name").string_or(), h.at("address").string_or(), {}, false};
    for (auto& n : ns.body.at("nodes").items())
      if (n.at("name").string_or() == x.name && n.at("member").bool_or())
        x.http = n.at("facts").at("http_address").string_or();
    if (!x.http.empty()) x.votes = s.link.at(x.http, "/status", Duration(2000)).body.at("votes").bool_or();
    out.push_back(x);
  }
  return out;
}

int list(Session& s) {
  auto g = seats(s);
  if (auto* rc = std::get_if<int>(&g)) return *rc;
  bool all = true;
  std::cout << row({{"HOLDER", 10}, {"PEERS", 22}, {"VOTES", 0}});
  for (auto& x : std::get<0>(g)) {
    std::cout << row({{x.name, 10},
                      {x.peers, 22},
                      {x.votes          ? "yes"
                       : x.http.empty() ? "away"
                                        : "not yet",
                       0}});
    all &= x.votes;
  }
  return all ? kOk : kNegative;
}

int add(Session& s) {
  auto body = fmt::format("{{\"holder\":true,\"address\":{}}}", base::quote(s.args[2]));
  auto r = s.link.put("/v1/holders/" + s.args[1], body);
  if (r.status != 200) return report_rejection(r);
  std::cout << s.args[1] << " holds the state from now on; waiting until its disk is filled and votes\n"
            << std::flush;
  for (auto end = s.clock.now() + Duration(1000 * (s.wait_s ? s.wait_s : kWaitSeconds)); s.clock.now() < end;
       s.clock.sleep(kLook)) {
    auto g = seats(s);
    if (auto* v = std::get_if<0>(&g))
      for (auto& x : *v)
        if (x.name == s.args[1] && x.votes) return std::cout << s.args[1] << " votes\n", kOk;
  }
  std::cerr << "console: " << s.args[1] << " does not vote yet; remove no other holder before it does\n";
  return kNegative;
}

int remove(Session& s) {
  auto g = seats(s);
  if (auto* rc = std::get_if<int>(&g)) return *rc;
  for (auto& x : std::get<0>(g))
    if (x.name != s.args[1] && !x.votes) {
      std::cerr << "console: " << x.name << " stays a holder and does not vote; wait for it first\n";
      return kRejected;
    }
  auto r = s.link.put("/v1/holders/" + s.args[1], R"({"holder":false})");
  if (r.status != 200) return report_rejection(r);
  std::cout << s.args[1] << " holds the state no more\n";
  return kOk;
}
}  // namespace

int replicas(Session& s) {
  if (s.args.empty() || (s.args[0] == "list" && s.args.size() == 1)) return list(s);
  if (s.args[0] == "add" && s.args.size() == 3) return add(s);
  if (s.args[0] == "remove" && s.args.size() == 2) return remove(s);
  std::cerr << "console: holders [list], holders add NAME IP:PORT, or holders remove NAME\n";
  return kUsage;
}

}  // namespace dunlinwing::console
