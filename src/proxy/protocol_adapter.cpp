// The product's own face. Every header of ours begins with Dunlinwing-, and none
// that a caller or worker sends under such a name is passed on.
#include "proxy/protocol_adapter.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/json.hpp"

namespace dunlinwing::proxy {

void strip_hop_by_hop(base::Headers& headers) {
  static const char* const hop[] = {"Connection",
                                    "Keep-Alive",
                                    "Proxy-Connection",
                                    "Proxy-Authenticate",
                                    "TE",
                                    "Transfer-Encoding",
                                    "Trailer",
                                    "Upgrade",
                                    "Expect",
                                    "Content-Length",
                                    "Proxy-Authorization"};
  std::vector<std::string> named;
  for (auto& [k, v] : headers)
    if (base::equals_ignore_case(k, "Connection"))
      for (auto& w : base::split_list(v, ',')) named.push_back(w);
  std::erase_if(headers, [&](auto& h) {
    for (auto* n : hop)
      if (base::equals_ignore_case(h.name, n)) return true;
    for (auto& n : named)
      if (base::equals_ignore_case(h.name, n)) return true;
    return false;
  });
}

namespace {
bool ours(const std::string& name) {
  return name.size() > 11 && base::equals_ignore_case(std::string_view(name).substr(0, 11), "Dunlinwing-");
}

void strip(base::Headers& headers) {
  strip_hop_by_hop(headers);
  std::erase_if(headers, [](auto& h) { return ours(h.name); });
}

class Own final : public ProtocolAdapter {
 public:
  RequestIdentity read_identity(const base::Request&, base::Random& random) const override {
    return {base::random_token(random), {}};
  }

  void prepare_request(base::Request& request, const AttemptContext& d) const override {
    strip(request.headers);
    request.headers.emplace_back("Via", "1.1 dunlinwing");
    request.headers.emplace_back("Dunlinwing-Request", request.id);
    request.headers.emplace_back("Dunlinwing-Service", d.instance.service);
    request.headers.emplace_back("Dunlinwing-Version", d.instance.version);
    request.headers.emplace_back("Dunlinwing-Instance", d.instance.instance);
    request.headers.emplace_back("Dunlinwing-Relay", d.entry_node);
    request.headers.emplace_back("Dunlinwing-Generation", std::to_string(d.generation));
  }

  bool is_response_to(const base::Response& response, const std::string& id) const override {
    return base::header(response.headers, "Dunlinwing-Request") == id;
  }

  bool names_no_request(const base::Response& response) const override {
    return base::header(response.headers, "Dunlinwing-Request").empty();
  }

  // Whether what came back is the named worker's own whole answer to this request.
  ResponseClass classify(const base::Response& response, const membership::BackendInstance& instance,
                         const base::Request& request) const override {
    auto is = [&](const char* h, const std::string& v) { return base::header(response.headers, h) == v; };
    bool this_one = is_response_to(response, request.id) &&
                    !base::header(response.headers, "Dunlinwing-Instance").empty();
    if (response.status == 421)
      return this_one && is("Dunlinwing-Outcome", "not-run") ? ResponseClass::wrong_instance
                                                             : ResponseClass::invalid;
    if (!is("Dunlinwing-Service", instance.service) || !is("Dunlinwing-Version", instance.version) ||
        !is("Dunlinwing-Instance", instance.instance) || !is_response_to(response, request.id))
      return ResponseClass::invalid;
    if (response.status == 503 && is("Dunlinwing-Outcome", "not-run")) return ResponseClass::not_executed;
    auto d = base::header(response.headers, "Content-Digest");
    if (auto i = d.find("sha-256=:"); i != d.npos && request.method != "HEAD") {
      auto e = d.find(':', i + 9);
      if (e == d.npos || d.substr(i + 9, e - i - 9) != base::sha256_base64(response.body))
        return ResponseClass::invalid;
    }
    return response.status >= 500 ? ResponseClass::failed : ResponseClass::good;
  }

  std::optional<BackendLoad> reported_load(const base::Response& response) const override {
    auto h = base::header(response.headers, "Dunlinwing-Load");
    int n = 0;
    if (std::from_chars(h.data(), h.data() + h.size(), n).ec != std::errc()) return {};
    return BackendLoad{n, 0, 0};
  }

  std::vector<std::string> cache_tags(const base::Response&) const override { return {}; }

  base::Response local_response(int status, const std::string& why, ExecutionStatus o,
                                std::optional<Duration> back) const override {
    base::Response response{
        status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, {}};
    if (o != ExecutionStatus::none)
      response.headers.emplace_back("Dunlinwing-Outcome",
                                    o == ExecutionStatus::not_executed ? "not-run" : "unknown");
    if (back)
      response.headers.emplace_back("Retry-After",
                                    std::to_string(std::max<int64_t>(1, (back->count() + 999) / 1000)));
    response.body = fmt::format("{{\"defect\":{}}}\n", base::quote(why));
    return response;
  }

  void strip_internal_headers(base::Response& response) const override {
    strip(response.headers);
    response.headers.emplace_back("Via", "1.1 dunlinwing");
  }

  void finish_response(base::Response& response, const std::string&, uint64_t generation) const override {
    if (generation) response.headers.emplace_back("Dunlinwing-Generation", std::to_string(generation));
  }
};
}  // namespace

bool is_unrequested_partial(const base::Request& request, const base::Response& response) {
  auto asked = [&](const char* name) { return !base::header(request.headers, name).empty(); };
  if (response.status == 206) return !asked("Range");
  if (response.status == 304) return !asked("If-None-Match") && !asked("If-Modified-Since");
  return false;
}

std::unique_ptr<ProtocolAdapter> native_protocol_adapter() { return std::make_unique<Own>(); }

}  // namespace dunlinwing::proxy
