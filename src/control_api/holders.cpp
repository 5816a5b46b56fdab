// A new holder must be up, with an empty disk, before it is added: it is refilled
// from the others before it votes. An old one is removed only after that.
#include "control_api/holders.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "control_api/schemas.hpp"
#include "wire/peer.hpp"

namespace dunlinwing::control_api {
namespace {
base::Response of(consensus::ReplicaSetError d) {
  switch (d) {
    case consensus::ReplicaSetError::no_change:
      return defect(503, "another change of the set is under way; ask again");
    case consensus::ReplicaSetError::too_few:
      return defect(409, "fewer than three holders could not bear a loss");
    case consensus::ReplicaSetError::no_majority:
      return defect(503, "no majority of the holders answers; nothing was changed");
    case consensus::ReplicaSetError::raced:
      return defect(412, "another change of the set came first; read before trying again");
    default:
      return defect(503, "the fate of this write is unknown: read before trying again");
  }
}
}  // namespace

base::Response holders(relay::Node& n) {
  auto& set = n.registers().set();
  auto f = n.state_cache().chosen().find(consensus::kReplicaSetKey);
  return json(200, message_json(set.message()), f == n.state_cache().chosen().end() ? 0 : f->second.version);
}

base::Response put_holder(relay::Node& n, Call& c) {
  auto p = base::Json::parse(c.q.body);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return defects({*d});
  auto& j = std::get<base::Json>(p);
  auto ds = holder_schema().check(j);
  bool on = j.at("holder").flag();
  auto address = j.at("address").str();
  if (on && address.empty()) ds.push_back({"/address", "is missing"});
  if (!ds.empty()) return defects(ds);
  if (!n.state_cache().settle(n.config().bound)) return of(consensus::ReplicaSetError::no_majority);
  auto to = n.registers().set().current();
  auto same = [&](auto& h) { return h.name == c.path[2]; };
  if (on == std::any_of(to.begin(), to.end(), same))
    return json(200, message_json(n.registers().set().message()));
  if (on)
    to.push_back({c.path[2], address});
  else
    std::erase_if(to, same);
  auto r = n.registers().change(to, [&] { return n.state_cache().names(n.config().bound); });
  if (auto* d = std::get_if<consensus::ReplicaSetError>(&r)) return of(*d);
  return json(200, message_json(std::get<pb::ReplicaSet>(r)));
}

}  // namespace dunlinwing::control_api
