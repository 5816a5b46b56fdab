// Paths, queries, ETags and error responses.
#include "control_api/api_request.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace dunlinwing::control_api {
namespace {
constexpr const char* kComeBackSeconds = "1";

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string decode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    bool escaped = text[i] == '%' && i + 2 < text.size();
    if (escaped && hex_digit(text[i + 1]) >= 0 && hex_digit(text[i + 2]) >= 0) {
      out += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::vector<std::string> path_segments(std::string_view path) {
  std::vector<std::string> out;
  for (size_t i = 1; i <= path.size();) {
    auto end = std::min(path.find('/', i), path.size());
    if (end > i) out.push_back(decode(path.substr(i, end - i)));
    i = end + 1;
  }
  return out;
}

std::map<std::string, std::string> query_parameters(std::string_view query) {
  std::map<std::string, std::string> out;
  for (size_t i = 0; i <= query.size();) {
    auto end = std::min(query.find('&', i), query.size());
    auto one = query.substr(i, end - i);
    auto equals = std::min(one.find('='), one.size());
    if (!one.empty())
      out[decode(one.substr(0, equals))] = decode(equals < one.size() ? one.substr(equals + 1) : "");
    i = end + 1;
  }
  return out;
}
}  // namespace

ApiRequest parse_request(base::Request& request) {
  std::string_view target = request.target;
  auto mark = target.find('?');
  ApiRequest call{request, path_segments(target.substr(0, mark)), {}};
  if (mark != target.npos) call.query = query_parameters(target.substr(mark + 1));
  return call;
}

base::Response json_response(int status, std::string body, std::optional<uint64_t> version) {
  base::Response response{
      status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, std::move(body)};
  if (version) response.headers.emplace_back("ETag", fmt::format("\"{}\"", *version));
  if (status == 503) response.headers.emplace_back("Retry-After", kComeBackSeconds);
  if (!response.body.empty() && response.body.back() != '\n') response.body += '\n';
  return response;
}

base::Response error_response(int status, const std::string& why, std::optional<uint64_t> version) {
  return json_response(status, fmt::format("{{\"defect\":{}}}", base::quote(why)), version);
}

base::Response validation_errors(const std::vector<base::ValidationError>& errors) {
  std::string list;
  for (auto& error : errors)
    list += fmt::format("{}{{\"at\":{},\"what\":{}}}", list.empty() ? "" : ",", base::quote(error.pointer),
                        base::quote(error.message));
  return json_response(
      422, fmt::format("{{\"defect\":\"the document is not valid; nothing was recorded\",\"defects\":[{}]}}",
                       list));
}

base::Response outcome_unknown() {
  return error_response(503,
                        "the fate of this write is unknown: it may or may not be recorded. Read before "
                        "trying again, or send the same again.");
}

std::variant<base::Json, base::Response> parse_body(const std::string& body, const base::Schema& schema) {
  auto parsed = base::Json::parse(body);
  if (auto* error = std::get_if<base::ValidationError>(&parsed)) return validation_errors({*error});
  auto& json = std::get<base::Json>(parsed);
  auto errors = schema.check(json);
  if (!errors.empty()) return validation_errors(errors);
  return json;
}

std::string message_json(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = false;  // json_name in proto/wire.proto pins the names
  std::string out;
  if (!google::protobuf::util::MessageToJsonString(message, &out, options).ok()) return "{}";
  return out;
}

std::optional<base::Response> check_precondition(const base::Request& request, uint64_t version) {
  auto tag = fmt::format("\"{}\"", version);
  auto match = base::header(request.headers, "If-Match");
  auto none_match = base::header(request.headers, "If-None-Match");
  bool matches = match.empty() || match == tag || (match == "*" && version > 0);
  bool excluded = !none_match.empty() && (none_match == tag || (none_match == "*" && version > 0));
  if (matches && !excluded) return {};
  return json_response(
      412, fmt::format("{{\"defect\":\"the version in force is another\",\"version\":{}}}", version),
      version);
}

bool may_be_own_write(const base::Request& request, uint64_t version) {
  return !check_precondition(request, version) || !check_precondition(request, version - 1);
}

}  // namespace dunlinwing::control_api
