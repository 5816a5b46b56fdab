// The other half, which reads it, is members/discovery.
#include "control_api/self.hpp"

#include <fmt/format.h>

namespace dunlinwing::control_api {

base::Response self(relay::Node& n) {
  auto& c = n.config();
  auto& set = n.registers().set();
  std::string hs;
  for (auto& h : set.all())
    hs += fmt::format(R"({}{{"name":{},"address":{}}})", hs.empty() ? "" : ",", base::quote(h.name),
                      base::quote(h.address));
  return json_response(
      200, fmt::format(R"({{"name":{},"zone":{},"peer_address":{},"disk":{},"epoch":{},"holders":[{}]}})",
                       base::quote(c.name), base::quote(c.zone), base::quote(c.peer_address),
                       n.acceptor() != nullptr, set.epoch(), hs));
}

}  // namespace dunlinwing::control_api
