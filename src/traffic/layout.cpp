// The schema checks each value on its own; what follows it checks that the
// parts of the document name each other rightly.
#include "traffic/layout.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <range/v3/algorithm/any_of.hpp>
#include <range/v3/algorithm/sort.hpp>

namespace dunlinwing::traffic {

std::string_view layout_schema() {
  return R"({
  "type":"object","additionalProperties":false,"required":["services","routes"],
  "properties":{
    "services":{"type":"object","minProperties":1,"maxProperties":256,"additionalProperties":{
      "type":"object","additionalProperties":false,"required":["versions"],
      "properties":{
        "versions":{"type":"array","minItems":0,"maxItems":8,"uniqueItems":true,
                    "items":{"type":"string","minLength":1,"maxLength":64}},
        "deadline_ms":{"type":"integer","minimum":10,"maximum":60000},
        "waitlist":{"type":"integer","minimum":0,"maximum":100000},
        "inflight":{"type":"integer","minimum":1,"maximum":100000},
        "rate":{"type":"integer","minimum":0,"maximum":1000000},
        "safe_repeats":{"type":"boolean"},
        "cache":{"type":"object","additionalProperties":false,"required":["lifetime_s"],
                 "properties":{"lifetime_s":{"type":"integer","minimum":1,"maximum":31536000}}}}}},
    "routes":{"type":"array","minItems":1,"maxItems":1024,"items":{
      "type":"object","additionalProperties":false,"required":["prefix","service"],
      "properties":{
        "prefix":{"type":"string","pattern":"^/","maxLength":1024},
        "service":{"type":"string"},
        "methods":{"type":"array","minItems":1,"uniqueItems":true,
                   "items":{"type":"string","enum":["GET","HEAD","POST","PUT","PATCH","DELETE","OPTIONS"]}}}}},
    "limits":{"type":"object","additionalProperties":false,"properties":{
      "body_bytes":{"type":"integer","minimum":0,"maximum":8388608},
      "cache_bytes":{"type":"integer","minimum":0,"maximum":4294967296}}}}})";
}

const Route* Layout::match(std::string_view method, std::string_view target, bool& other) const {
  auto path = target.substr(0, target.find('?'));
  other = false;
  for (auto& r : routes) {
    if (path.substr(0, r.prefix.size()) != r.prefix) continue;
    if (r.methods.empty() || ranges::any_of(r.methods, [&](auto& m) { return m == method; })) {
      other = false;
      return &r;
    }
    other = true;
  }
  return nullptr;
}

LayoutGot read_layout(const std::string& name, const base::Json& j) {
  static const base::Schema schema(layout_schema());
  auto defects = schema.check(j);
  auto names_ok = [](const std::string& s) {
    return !s.empty() && s.size() <= 64 && s.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == s.npos;
  };
  auto l = std::make_shared<Layout>();
  l->name = name;
  l->text = j.text();
  for (auto& [k, v] : j.at("services").members()) {
    if (!names_ok(k)) defects.push_back({"/services/" + k, "a service is named by a-z, 0-9 and -"});
    Service s;
    s.name = k;
    s.versions = v.at("versions").strs();
    s.deadline = Span(v.at("deadline_ms").num(s.deadline.count()));
    s.waitlist = static_cast<int>(v.at("waitlist").num(s.waitlist));
    s.inflight = static_cast<int>(v.at("inflight").num(s.inflight));
    s.rate = v.at("rate").num(0);
    s.safe_repeats = v.at("safe_repeats").flag(true);
    s.lifetime_s = v.at("cache").at("lifetime_s").num(0);
    l->services[k] = s;
  }
  int i = 0;
  std::map<std::string, int> once;
  for (auto& r : j.at("routes").items()) {
    Route x{r.at("prefix").str(), r.at("service").str(), r.at("methods").strs()};
    if (!l->services.count(x.service))
      defects.push_back({fmt::format("/routes/{}/service", i), "names no service of this layout"});
    auto ms = x.methods.empty() ? std::vector<std::string>{"*"} : x.methods;
    for (auto& m : ms)
      if (once[x.prefix + " " + m]++)
        defects.push_back({fmt::format("/routes/{}/prefix", i), "an earlier route has this prefix and method"});
    l->routes.push_back(x);
    ++i;
  }
  for (auto& [k, s] : l->services)
    if (!ranges::any_of(l->routes, [&](auto& r) { return r.service == k; }))
      defects.push_back({"/services/" + k, "no route leads to it"});
  if (!defects.empty()) return defects;
  std::stable_sort(l->routes.begin(), l->routes.end(),
                   [](auto& a, auto& b) { return a.prefix.size() > b.prefix.size(); });
  l->body_bytes = j.at("limits").at("body_bytes").num(l->body_bytes);
  l->cache_bytes = j.at("limits").at("cache_bytes").num(l->cache_bytes);
  return std::shared_ptr<const Layout>(l);
}

LayoutGot read_layout(const std::string& name, std::string_view text) {
  auto p = base::Json::parse(text);
  if (auto* d = std::get_if<base::DocDefect>(&p)) return std::vector<base::DocDefect>{*d};
  return read_layout(name, std::get<base::Json>(p));
}

}  // namespace dunlinwing::traffic
