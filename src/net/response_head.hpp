/// @file
/// The head of a response as an HTTP/1.1 server sends it. Pure functions.
#pragma once
#include "base/http.hpp"
#include "net/http_server.hpp"

namespace dunlinwing::net {

/// Properties of a request, and of its connection, that the response depends on.
struct ResponseContext {
  bool is_head_request = false;  ///< the request's method is HEAD
  unsigned version = 11;         ///< of HTTP, 10 or 11
  bool keep_alive = false;
};

/// Whether responses of this status have no body.
bool has_no_body(int status);

/// The status line and the headers, with those of the connection and the framing in place of the response's
/// own.
std::string response_head(const base::Response& response, const ResponseContext& context,
                          const HttpLimits& limits);

}  // namespace dunlinwing::net
