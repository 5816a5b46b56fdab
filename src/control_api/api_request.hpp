// A request to the control API, parsed once, and the forms of the responses to it.
#pragma once
#include "base/json.hpp"
#include "base/ports.hpp"

namespace google::protobuf {
class Message;
}

namespace dunlinwing::control_api {

// A parsed request.
struct ApiRequest {
  base::Request& request;
  std::vector<std::string> path;             // segments, decoded
  std::map<std::string, std::string> query;  // decoded
  TimePoint deadline{0};                     // no new attempt is begun after it
};
ApiRequest parse_request(base::Request& request);

// A JSON response; `version` becomes its ETag. A 503 says when to come back (Retry-After).
base::Response json_response(int status, std::string body, std::optional<uint64_t> version = {});
// A response that says in words why a request was not done.
base::Response error_response(int status, const std::string& why, std::optional<uint64_t> version = {});
// 422: each error of a document, by its JSON pointer.
base::Response validation_errors(const std::vector<base::ValidationError>& errors);
// 503: whether the request was or will be done cannot be told.
base::Response outcome_unknown();

// The body as JSON that keeps to the schema, or the response that says why it does not.
std::variant<base::Json, base::Response> parse_body(const std::string& body, const base::Schema& schema);

std::string message_json(const google::protobuf::Message& message);

// 412 when the client's own If-Match or If-None-Match excludes the version in force.
std::optional<base::Response> check_precondition(const base::Request& request, uint64_t version);

// Whether what is in force under this version, and is just what the request states, may be an
// earlier write of the same request: its preconditions hold now, or held for the version before.
bool may_be_own_write(const base::Request& request, uint64_t version);

}  // namespace dunlinwing::control_api
