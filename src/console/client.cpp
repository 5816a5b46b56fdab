// A PUT is idempotent by name, so one that broke off is simply stated again to
// the next seed.
#include "console/client.hpp"

#include <fmt/format.h>

#include <iostream>

namespace dunlinwing::console {
namespace {
Reply of(const base::Response& response, const std::string& from) {
  Reply x{response.status, {}, response.body, base::header(response.headers, "ETag"), from};
  auto p = base::Json::parse(response.body);
  if (auto* j = std::get_if<base::Json>(&p)) x.body = *j;
  return x;
}
}  // namespace

Reply Client::any(const base::Request& request, Duration limit) {
  Reply last;
  for (auto& s : r_.seeds) {
    auto r = http_.send(s, request, limit);
    if (auto* a = std::get_if<base::Response>(&r)) {
      last = of(*a, s);
      if (a->status != 503 || last.text.find("fate") != std::string::npos) return last;
    }
    if (!r_.quiet)
      std::cerr << "console: " << s
                << (std::holds_alternative<base::Response>(r) ? " cannot settle this" : " does not answer")
                << "; trying the next seed\n";
  }
  return last;
}

Reply Client::get(const std::string& path, Duration limit) { return any({"", "GET", path, "", {}}, limit); }

Reply Client::put(const std::string& path, const std::string& body, base::Headers headers) {
  return any({"", "PUT", path, body, std::move(headers)}, Duration(8000));
}

Reply Client::at(const std::string& seed, const std::string& path, Duration limit) {
  auto r = http_.send(seed, {"", "GET", path, "", {}}, limit);
  if (auto* a = std::get_if<base::Response>(&r)) return of(*a, seed);
  return {};
}

}  // namespace dunlinwing::console
