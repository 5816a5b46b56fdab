#include "console/client.hpp"

#include <iostream>

namespace dunlinwing::console {
namespace {
constexpr Duration kSeedLimit{8000};  ///< for the response of a seed before the next one is tried

Reply parse_response(const base::Response& response, const std::string& from) {
  Reply reply{response.status, {}, response.body, from};
  auto parsed = base::Json::parse(response.body);
  if (auto* body = std::get_if<base::Json>(&parsed)) reply.body = *body;
  return reply;
}
}  // namespace

Reply Client::try_seeds(const base::Request& request) {
  Reply last;
  for (const auto& seed : seeds_) {
    auto result = http_.send(seed, request, kSeedLimit);
    const auto* response = std::get_if<base::Response>(&result);
    if (response) {
      last = parse_response(*response, seed);
      if (response->status != 503 || last.outcome_unknown()) return last;
    }
    std::cerr << "console: " << seed << (response ? " cannot complete the request" : " does not answer")
              << "; trying the next seed\n";
  }
  return last;
}

Reply Client::get(const std::string& path) { return try_seeds({"", "GET", path, "", {}}); }

Reply Client::put(const std::string& path, const std::string& body) {
  return try_seeds({"", "PUT", path, body, {}});
}

Reply Client::get_from(const std::string& address, const std::string& path, Duration limit) {
  auto result = http_.send(address, {"", "GET", path, "", {}}, limit);
  if (auto* response = std::get_if<base::Response>(&result)) return parse_response(*response, address);
  return {};
}

}  // namespace dunlinwing::console
