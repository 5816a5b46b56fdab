// Each is read from what the last good pull brought.
#include "control_api/views.hpp"

#include <fmt/format.h>

#include "control_api/control.hpp"
#include "membership/deregistered.hpp"

namespace dunlinwing::control_api {

base::Response nodes(relay::Node& n, TimePoint now) {
  std::map<std::string, bool> in;
  for (auto& m : n.state_cache().statuses().members(now)) in[m.name] = true;
  std::string b;
  for (auto& m : n.state_cache().statuses().all(now)) {
    if (m.fact.zone().empty()) continue;
    b += fmt::format(R"({}{{"name":{},"member":{},"age_ms":{},"facts":{}}})", b.empty() ? "" : ",",
                     base::quote(m.name), in.count(m.name) > 0, m.age.count(), message_json(m.fact));
  }
  return json(200, "{\"nodes\":[" + b + "]}");
}

base::Response workers(relay::Node& n, TimePoint now) {
  std::string b;
  for (auto& [i, w] : n.state_cache().statuses().workers(now)) {
    b += fmt::format(R"({}{{"instance":{},"gone":{},"age_ms":{},"beat":{}}})", b.empty() ? "" : ",",
                     base::quote(i), w.gone, w.age.count(), message_json(w.beat));
  }
  std::string left;
  if (auto f = n.state_cache().chosen().find(membership::kDeregisteredKey);
      f != n.state_cache().chosen().end())
    for (auto& i : membership::read_deregistered(f->second.data))
      left += (left.empty() ? "" : ",") + base::quote(i);
  return json(200, "{\"workers\":[" + b + "],\"departed\":[" + left + "]}");
}

namespace {
// The registers whose names begin so, each a message of one kind, by the rest of the name.
template <class M>
base::Response listed(relay::Node& n, const std::string& prefix, const char* what) {
  std::string b;
  for (auto& [k, h] : n.state_cache().chosen()) {
    if (!k.starts_with(prefix)) continue;
    M m;
    m.ParseFromString(h.data);
    b += fmt::format("{}{}:{}", b.empty() ? "" : ",", base::quote(k.substr(prefix.size())), message_json(m));
  }
  return json(200, fmt::format("{{\"{}\":{{{}}}}}", what, b));
}
}  // namespace

base::Response drains(relay::Node& n) { return listed<pb::Drain>(n, "drain/", "drains"); }
base::Response purges(relay::Node& n) { return listed<pb::PurgeSet>(n, "purge/", "purges"); }

}  // namespace dunlinwing::control_api
