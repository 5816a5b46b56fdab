// An operators' layout: routes, services and limits, checked as a whole. A
// layout is parsed once and never changed; every request runs under one.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::traffic {

struct Service {
  std::string name;
  std::vector<std::string> versions;  // the first serves until a move says otherwise
  Span deadline{2000};
  int waitlist = 64;    // waiting at one relay
  int inflight = 64;    // at workers from one relay
  int64_t rate = 0;     // requests a second over the whole fleet; 0: no limit
  bool safe_repeats = true;
  int64_t lifetime_s = 0;  // 0: not cached
};

struct Route {
  std::string prefix, service;
  std::vector<std::string> methods;
};

struct Layout {
  std::string name, text;
  std::map<std::string, Service> services;
  std::vector<Route> routes;  // longest prefix first
  int64_t body_bytes = 1 << 20;
  int64_t cache_bytes = 64 << 20;

  // Null route: nothing matches. With `other_method` set, only the method does not.
  const Route* match(std::string_view method, std::string_view target, bool& other_method) const;
};

using LayoutGot = std::variant<std::shared_ptr<const Layout>, std::vector<base::DocDefect>>;
LayoutGot read_layout(const std::string& name, const base::Json& j);
LayoutGot read_layout(const std::string& name, std::string_view text);
std::string_view layout_schema();

}  // namespace dunlinwing::traffic
