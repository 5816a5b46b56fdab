#include "control_api/status_page.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/json.hpp"

namespace dunlinwing::control_api {
namespace {
/// The members of a JSON object under construction, as text.
using Members = std::vector<std::string>;

Members identity_members(node::Node& node) {
  const auto& config = node.config();
  return {fmt::format(R"("name":{},"zone":{})", base::quote(config.name), base::quote(config.zone)),
          fmt::format(R"("software":"{}","ready":{})", kSoftwareVersion, node.ready())};
}

Members state_members(node::Node& node, TimePoint now) {
  auto& state_cache = node.state_cache();
  bool is_replica = node.acceptor() != nullptr;
  return {fmt::format(R"("fresh":{},"permit_left_ms":{})", state_cache.has_read_lease(),
                      read_lease_left(node, now).count()),
          fmt::format(R"("generation":{},"layout":{})", node.generation(),
                      base::quote(node.configuration_name())),
          fmt::format(R"("holder":{},"votes":{})", is_replica, is_replica && !node.acceptor()->non_voting()),
          fmt::format(R"("shield":{},"duty":{})", node.config().shield, node.leadership().is_leader()),
          fmt::format(R"("incarnation":{},"members":{})", state_cache.incarnation(),
                      state_cache.statuses().members(now).size())};
}

Members counter_members(proxy::RequestHandler& handler) {
  auto& counters = handler.counters();
  return {fmt::format(R"("requests":{},"defects":{})", counters.requests.load(), counters.failures.load()),
          fmt::format(R"("turned_away":{},"unknown":{})", counters.rejected.load(), counters.unknown.load()),
          fmt::format(R"("cache":{{"hits":{},"fills":{},"bytes":{}}})", counters.cache_hits.load(),
                      counters.cache_fetches.load(), handler.cache_bytes())};
}
}  // namespace

Duration read_lease_left(node::Node& node, TimePoint now) {
  return std::max(Duration(0), Duration(node.state_cache().read_lease_end() - now));
}

std::string status_page(node::Node& node, TimePoint now) {
  return fmt::format("{{{},{},{}}}", fmt::join(identity_members(node), ","),
                     fmt::join(state_members(node, now), ","),
                     fmt::join(counter_members(node.request_handler()), ","));
}

}  // namespace dunlinwing::control_api
