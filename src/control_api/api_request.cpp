#include "control_api/api_request.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace dunlinwing::control_api {
namespace {
constexpr const char* kRetryAfterSeconds = "1";
constexpr int kHexadecimal = 16;

/// The value of a hexadecimal digit, or -1.
int hex_digit(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

/// Decodes percent-encoding. An incomplete or invalid escape is copied unchanged.
std::string decode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    bool escaped = text[i] == '%' && i + 2 < text.size();
    if (escaped && hex_digit(text[i + 1]) >= 0 && hex_digit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(hex_digit(text[i + 1]) * kHexadecimal + hex_digit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

/// The decoded segments of the path, without empty ones.
std::vector<std::string> path_segments(std::string_view path) {
  std::vector<std::string> segments;
  for (size_t at = 1; at <= path.size();) {
    auto end = std::min(path.find('/', at), path.size());
    if (end > at) segments.push_back(decode(path.substr(at, end - at)));
    at = end + 1;
  }
  return segments;
}

std::map<std::string, std::string> query_parameters(std::string_view query) {
  std::map<std::string, std::string> parameters;
  for (size_t at = 0; at <= query.size();) {
    auto end = std::min(query.find('&', at), query.size());
    auto parameter = query.substr(at, end - at);
    auto equals = std::min(parameter.find('='), parameter.size());
    if (!parameter.empty())
      parameters[decode(parameter.substr(0, equals))] =
          decode(equals < parameter.size() ? parameter.substr(equals + 1) : "");
    at = end + 1;
  }
  return parameters;
}
}  // namespace

ApiRequest parse_request(const base::Request& http) {
  std::string_view target = http.target;
  auto question_mark = target.find('?');
  ApiRequest request{http, path_segments(target.substr(0, question_mark)), {}};
  if (question_mark != std::string_view::npos)
    request.query = query_parameters(target.substr(question_mark + 1));
  return request;
}

std::string encode_segment(const std::string& segment) {
  std::string encoded;
  for (const char character : segment)
    if (std::isalnum(static_cast<unsigned char>(character)))
      encoded += character;
    else
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
  return encoded;
}

base::Response json_response(int status, std::string body, std::optional<uint64_t> version) {
  if (!body.empty() && body.back() != '\n') body += '\n';
  base::Response response{
      status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, std::move(body)};
  if (version) response.headers.emplace_back("ETag", fmt::format("\"{}\"", *version));
  if (status == 503) response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  return response;
}

base::Response error_response(int status, const std::string& reason, std::optional<uint64_t> version) {
  return json_response(status, fmt::format("{{\"defect\":{}}}", base::quote(reason)), version);
}

base::Response validation_errors(const std::vector<base::ValidationError>& errors) {
  std::vector<std::string> list;
  list.reserve(errors.size());
  for (const auto& error : errors)
    list.push_back(
        fmt::format(R"({{"at":{},"what":{}}})", base::quote(error.pointer), base::quote(error.message)));
  return json_response(
      422, fmt::format(R"({{"defect":"the document is not valid; nothing was recorded","defects":[{}]}})",
                       fmt::join(list, ",")));
}

base::Response outcome_unknown() {
  return error_response(503,
                        "the fate of this write is unknown: it may or may not be recorded. Read before "
                        "trying again, or send the same again.");
}

std::variant<base::Json, base::Response> parse_body(const std::string& body, const base::Schema& schema) {
  auto parsed = base::Json::parse(body);
  if (const auto* error = std::get_if<base::ValidationError>(&parsed)) return validation_errors({*error});
  auto& json = std::get<base::Json>(parsed);
  auto errors = schema.check(json);
  if (!errors.empty()) return validation_errors(errors);
  return json;
}

std::string message_json(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = false;  // json_name in proto/wire.proto pins the names
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(message, &json, options).ok()) return "{}";
  return json;
}

std::optional<base::Response> check_precondition(const base::Request& http, uint64_t version) {
  auto tag = fmt::format("\"{}\"", version);
  auto match = base::header(http.headers, "If-Match");
  auto none_match = base::header(http.headers, "If-None-Match");
  bool matches = match.empty() || match == tag || (match == "*" && version > 0);
  bool excluded = !none_match.empty() && (none_match == tag || (none_match == "*" && version > 0));
  if (matches && !excluded) return {};
  return json_response(
      412, fmt::format(R"({{"defect":"the version in force is another","version":{}}})", version), version);
}

bool may_be_retry(const base::Request& http, uint64_t version) {
  return !check_precondition(http, version) || !check_precondition(http, version - 1);
}

}  // namespace dunlinwing::control_api
