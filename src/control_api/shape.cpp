// The shape of calls and answers: paths, queries, ETags, defects.
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include "control_api/control.hpp"

namespace dunlinwing::control_api {
namespace {
std::string decode(std::string_view s) {
  auto hex = [](char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
  };
  std::string out;
  for (size_t i = 0; i < s.size(); ++i) {
    if (s[i] == '%' && i + 2 < s.size() && hex(s[i + 1]) >= 0 && hex(s[i + 2]) >= 0) {
      out += static_cast<char>(hex(s[i + 1]) * 16 + hex(s[i + 2]));
      i += 2;
    } else {
      out += s[i];
    }
  }
  return out;
}
}  // namespace

Call take_apart(base::Request& q) {
  Call c{q, {}, {}};
  std::string_view t = q.target;
  auto mark = t.find('?');
  auto path = t.substr(0, mark);
  for (size_t i = 1; i <= path.size();) {
    auto e = std::min(path.find('/', i), path.size());
    if (e > i) c.path.push_back(decode(path.substr(i, e - i)));
    i = e + 1;
  }
  if (mark != t.npos) {
    auto s = t.substr(mark + 1);
    for (size_t i = 0; i <= s.size();) {
      auto e = std::min(s.find('&', i), s.size());
      auto one = s.substr(i, e - i);
      auto eq = std::min(one.find('='), one.size());
      if (!one.empty())
        c.query[decode(one.substr(0, eq))] = decode(eq < one.size() ? one.substr(eq + 1) : "");
      i = e + 1;
    }
  }
  return c;
}

base::Response json(int status, std::string body, std::optional<uint64_t> v) {
  base::Response r{
      status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, std::move(body)};
  if (v) r.headers.emplace_back("ETag", fmt::format("\"{}\"", *v));
  if (status == 503) r.headers.emplace_back("Retry-After", "1");
  if (!r.body.empty() && r.body.back() != '\n') r.body += '\n';
  return r;
}

base::Response defect(int status, const std::string& why) {
  return json(status, fmt::format("{{\"defect\":{}}}", base::quote(why)));
}

base::Response defects(const std::vector<base::ValidationError>& ds) {
  std::string b;
  for (auto& d : ds)
    b += fmt::format("{}{{\"at\":{},\"what\":{}}}", b.empty() ? "" : ",", base::quote(d.at),
                     base::quote(d.what));
  return json(
      422,
      fmt::format("{{\"defect\":\"the document is not valid; nothing was recorded\",\"defects\":[{}]}}", b));
}

std::string message_json(const google::protobuf::Message& m) {
  google::protobuf::util::JsonPrintOptions o;
  o.always_print_primitive_fields = true;
  o.preserve_proto_field_names = true;
  std::string s;
  if (!google::protobuf::util::MessageToJsonString(m, &s, o).ok()) return "{}";
  return s;
}

std::optional<base::Response> precondition(const base::Request& q, uint64_t version) {
  auto tag = fmt::format("\"{}\"", version);
  auto stale = [&] {
    auto r =
        json(412, fmt::format("{{\"defect\":\"the version in force is another\",\"version\":{}}}", version),
             version);
    return r;
  };
  auto m = base::header(q.headers, "If-Match");
  if (!m.empty() && m != tag && !(m == "*" && version > 0)) return stale();
  auto n = base::header(q.headers, "If-None-Match");
  if (!n.empty() && (n == tag || (n == "*" && version > 0))) return stale();
  return {};
}

}  // namespace dunlinwing::control_api
