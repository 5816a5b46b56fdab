/// @file
/// HTTP requests and responses as plain data, independent of any connection.
#pragma once
#include "base/body.hpp"
#include "base/cancellation.hpp"
#include "base/common.hpp"

namespace dunlinwing::base {

/// One header line. Names are compared without regard to the case of ASCII letters.
struct Header {
  Header(std::string header_name, std::string header_value)
      : name(std::move(header_name)), value(std::move(header_value)) {}

  std::string name;
  std::string value;
};
using Headers = std::vector<Header>;  ///< in message order; a name may occur more than once

struct Request {
  std::string id;  ///< of the client, kept on the way through the relays; empty: none
  std::string method;
  std::string target;  ///< path and query
  Body body;
  Headers headers;
  CancellationPtr cancellation;  ///< signals that the client has disconnected
};

struct Response {
  int status = 0;
  Headers headers;
  Body body;
};

/// The value of the first header of that name, empty when there is none.
std::string header(const Headers& headers, std::string_view name);

}  // namespace dunlinwing::base
