/// @file
/// A parsed request to the control API, and functions that build the responses: JSON bodies, ETags,
/// preconditions and errors. Only the error texts and JSON keys defined here and in the handlers reach
/// clients; they are part of the API (docs/resources.md).
///
/// Threads: all functions are pure.
#pragma once
#include "base/json.hpp"
#include "base/ports.hpp"

namespace google::protobuf {
class Message;
}

namespace dunlinwing::control_api {

/// A parsed request. It refers to the HTTP request and must not outlive it.
struct ApiRequest {
  const base::Request& http;
  std::vector<std::string> path;             ///< segments, decoded
  std::map<std::string, std::string> query;  ///< parameters, decoded
  TimePoint deadline{0};                     ///< of a write: no new attempt begins after this time
};

ApiRequest parse_request(const base::Request& http);

/// Encodes a segment of a path, so that parse_request() returns it.
std::string encode_segment(const std::string& segment);

/// A JSON response.
/// @param version  of the resource; becomes the ETag
/// A 503 states in Retry-After when to try again.
base::Response json_response(int status, std::string body, std::optional<uint64_t> version = {});

/// A response whose JSON body states why a request was not carried out.
base::Response error_response(int status, const std::string& reason, std::optional<uint64_t> version = {});

/// 422: lists each error of a document with its JSON pointer.
base::Response validation_errors(const std::vector<base::ValidationError>& errors);

/// 503: it is unknown whether the request was or will be carried out.
base::Response outcome_unknown();

/// The body as JSON that conforms to the schema, or the response (422) that says why it does not.
std::variant<base::Json, base::Response> parse_body(const std::string& body, const base::Schema& schema);

/// A message as JSON. The names of its keys are pinned in proto/wire.proto.
std::string message_json(const google::protobuf::Message& message);

/// 412 when the request's If-Match or If-None-Match excludes the version in force (RFC 9110, 13.1).
/// @param version  0: the resource does not exist
[[nodiscard]] std::optional<base::Response> check_precondition(const base::Request& http, uint64_t version);

/// Whether an earlier copy of this request, whose response was lost, may have written the resource, which
/// equals the requested state: the preconditions hold for this version, or held for the one before.
bool may_be_retry(const base::Request& http, uint64_t version);

}  // namespace dunlinwing::control_api
