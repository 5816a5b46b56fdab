#include "proxy/protocol_adapter.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "base/json.hpp"

namespace dunlinwing::proxy {
namespace {
// Headers of this protocol. They are removed from the messages of clients and backend instances.
constexpr std::string_view kPrefix = "Dunlinwing-";
constexpr const char* kRequest = "Dunlinwing-Request";
constexpr const char* kService = "Dunlinwing-Service";
constexpr const char* kVersion = "Dunlinwing-Version";
constexpr const char* kInstance = "Dunlinwing-Instance";
constexpr const char* kEntryNode = "Dunlinwing-Relay";
constexpr const char* kGeneration = "Dunlinwing-Generation";
constexpr const char* kOutcome = "Dunlinwing-Outcome";
constexpr const char* kLoad = "Dunlinwing-Load";
constexpr const char* kNotExecuted = "not-run";  // values of kOutcome
constexpr const char* kUnknown = "unknown";
constexpr const char* kVia = "1.1 dunlinwing";

constexpr std::string_view kSha256 = "sha-256=:";  // in Content-Digest (RFC 9530), up to the next colon

constexpr std::string_view kHopByHop[] = {"Connection",
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

bool is_reserved(std::string_view name) {
  return name.size() > kPrefix.size() && base::equals_ignore_case(name.substr(0, kPrefix.size()), kPrefix);
}

void strip(base::Headers& headers) {
  strip_hop_by_hop(headers);
  std::erase_if(headers, [](const auto& header) { return is_reserved(header.name); });
}

bool has_value(const base::Response& response, const char* name, std::string_view value) {
  return base::header(response.headers, name) == value;
}

// Whether the body matches the SHA-256 digest in the response; true when there is none.
bool body_matches_digest(const base::Response& response) {
  auto digest = base::header(response.headers, "Content-Digest");
  auto begin = digest.find(kSha256);
  if (begin == std::string::npos) return true;
  begin += kSha256.size();
  auto end = digest.find(':', begin);
  if (end == std::string::npos) return false;
  return digest.substr(begin, end - begin) == base::sha256_base64(response.body);
}

class NativeProtocolAdapter final : public ProtocolAdapter {
 public:
  RequestIdentity read_identity(const base::Request& /*request*/, base::Random& random) const override {
    return {base::random_token(random), {}};
  }

  void prepare_request(base::Request& request, const AttemptContext& attempt) const override {
    strip(request.headers);
    request.headers.emplace_back("Via", kVia);
    request.headers.emplace_back(kRequest, request.id);
    request.headers.emplace_back(kService, attempt.instance.service);
    request.headers.emplace_back(kVersion, attempt.instance.version);
    request.headers.emplace_back(kInstance, attempt.instance.instance);
    request.headers.emplace_back(kEntryNode, attempt.entry_node);
    request.headers.emplace_back(kGeneration, std::to_string(attempt.generation));
  }

  bool is_response_to(const base::Response& response, const std::string& id) const override {
    return has_value(response, kRequest, id);
  }

  bool reports_not_executed(const base::Response& response, const base::Request& request) const override {
    return is_refusal(response, request);
  }

  bool lacks_request_id(const base::Response& response) const override {
    return base::header(response.headers, kRequest).empty();
  }

  ResponseClass classify(const base::Response& response, const membership::BackendInstance& instance,
                         const base::Request& request) const override {
    if (response.status == 421)
      return is_refusal(response, request) ? ResponseClass::wrong_instance : ResponseClass::invalid;
    if (!has_value(response, kService, instance.service) ||
        !has_value(response, kVersion, instance.version) ||
        !has_value(response, kInstance, instance.instance) || !is_response_to(response, request.id))
      return ResponseClass::invalid;
    if (response.status == 503 && has_value(response, kOutcome, kNotExecuted))
      return ResponseClass::not_executed;
    if (request.method != "HEAD" && !body_matches_digest(response)) return ResponseClass::invalid;
    return response.status >= 500 ? ResponseClass::failed : ResponseClass::good;
  }

  std::optional<BackendLoad> reported_load(const base::Response& response) const override {
    auto text = base::header(response.headers, kLoad);
    int running = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), running).ec != std::errc()) return {};
    return BackendLoad{running, 0, 0};
  }

  std::vector<std::string> cache_tags(const base::Response& /*response*/) const override { return {}; }

  base::Response local_response(int status, const std::string& reason, ReportedExecution execution,
                                std::optional<Duration> retry_after) const override {
    base::Response response{
        status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, {}};
    if (execution != ReportedExecution::none)
      response.headers.emplace_back(kOutcome,
                                    execution == ReportedExecution::not_executed ? kNotExecuted : kUnknown);
    if (retry_after)  // in whole seconds, rounded up, at least one
      response.headers.emplace_back(
          "Retry-After", std::to_string(std::max<int64_t>(1, (retry_after->count() + 999) / 1000)));
    response.body = fmt::format("{{\"defect\":{}}}\n", base::quote(reason));
    return response;
  }

  void strip_internal_headers(base::Response& response) const override {
    strip(response.headers);
    response.headers.emplace_back("Via", kVia);
  }

  void finish_response(base::Response& response, const std::string& /*id*/,
                       uint64_t generation) const override {
    if (generation) response.headers.emplace_back(kGeneration, std::to_string(generation));
  }

 private:
  // Whether any instance reports that it did not execute this request. A 421 without an instance name, or for
  // another request, may be sent by a server that executed the request.
  bool is_refusal(const base::Response& response, const base::Request& request) const {
    return is_response_to(response, request.id) && !base::header(response.headers, kInstance).empty() &&
           has_value(response, kOutcome, kNotExecuted);
  }
};
}  // namespace

void strip_hop_by_hop(base::Headers& headers) {
  std::vector<std::string> named;  // listed in Connection
  for (const auto& [name, value] : headers)
    if (base::equals_ignore_case(name, "Connection"))
      for (auto& word : base::split_list(value, ',')) named.push_back(std::move(word));
  std::erase_if(headers, [&](const auto& header) {
    auto is_its_name = [&](std::string_view name) { return base::equals_ignore_case(header.name, name); };
    return std::any_of(std::begin(kHopByHop), std::end(kHopByHop), is_its_name) ||
           std::any_of(named.begin(), named.end(), is_its_name);
  });
}

bool is_unrequested_partial(const base::Request& request, const base::Response& response) {
  auto requested = [&](const char* name) { return !base::header(request.headers, name).empty(); };
  if (response.status == 206) return !requested("Range");
  if (response.status == 304) return !requested("If-None-Match") && !requested("If-Modified-Since");
  return false;
}

std::unique_ptr<ProtocolAdapter> native_protocol_adapter() {
  return std::make_unique<NativeProtocolAdapter>();
}

}  // namespace dunlinwing::proxy
