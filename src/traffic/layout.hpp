// An operators' layout: routes, services and limits, checked as a whole. A
// layout is parsed once and never changed; every request runs under one.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::traffic {

struct Service {
  std::string name;
  std::vector<std::string>
      versions;  // the first serves until a move says otherwise; none named: any that a move brought in
  Duration deadline{2000};
  int waitlist = 64;  // waiting at one relay
  int inflight = 64;  // at workers from one relay
  double rate = 0;    // requests a second over the whole fleet; 0: no limit
  bool safe_repeats = true;
  int64_t lifetime_s = 0;  // 0: not cached
  int connections = 0;     // that a worker takes from all relays together; 0: not stated
  std::string probe;       // path at which its workers say whether they are well
};

// Whether a request may run more than once. By method when the route does not say.
enum class Kind { by_method, safe, unsafe, cacheable };

struct Route {
  std::string name, host, prefix;                     // no host: any
  std::vector<std::pair<std::string, double>> split;  // services with their weights
  std::vector<std::string> methods;
  Kind kind = Kind::by_method;
  Duration timeout{0};  // 0: the service's deadline
  Duration aim{0};      // in which an answer is worth most; 0: the time-out
  int priority = 0;     // 0 goes first
  int shots = 4;        // workers to which one request may be sent, at most
  const std::string& label() const { return name.empty() ? prefix : name; }
  Duration keep{0};  // how long receipts are kept without the worker's word; 0: as it says
};

struct Layout {
  std::string name, text;
  std::map<std::string, Service> services;
  std::vector<Route> routes;  // longest prefix first
  int64_t body_bytes = 1 << 20;
  int64_t cache_bytes = 64 << 20;
  int64_t head_bytes = 16 << 10;                // of a request
  Duration head_time{10000}, idle_time{60000};  // for a request's head; between requests

  // Null route: nothing matches. With `other_method` set, only the method does not.
  const Route* match(std::string_view method, std::string_view host, std::string_view target,
                     bool& other_method) const;
};

using LayoutGot = std::variant<std::shared_ptr<const Layout>, std::vector<base::ValidationError>>;
LayoutGot read_layout(const std::string& name, const base::Json& j);
LayoutGot read_layout(const std::string& name, std::string_view text);
std::string_view layout_schema();

}  // namespace dunlinwing::traffic
