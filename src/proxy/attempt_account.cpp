#include "proxy/attempt_account.hpp"

#include <fmt/format.h>

namespace dunlinwing::proxy {
namespace {
const char* result_text(AttemptClass result) {
  switch (result) {
    case AttemptClass::good:
      return "good";
    case AttemptClass::failed:
      return "failed";
    case AttemptClass::not_executed:
      return "declined";
    case AttemptClass::wrong_instance:
      return "wrong instance";
    case AttemptClass::invalid_response:
      return "invalid response";
    case AttemptClass::no_response:
      return "no complete response";
    case AttemptClass::not_sent:
      break;
  }
  return "not sent";
}
}  // namespace

std::string describe(const AttemptRecord& attempt) {
  std::string response;
  if (attempt.status != 0)
    response =
        fmt::format(" ({}{})", attempt.status, attempt.names_request ? "" : " without the request's id");
  return fmt::format("{} at {}, {} connection, {} bytes written, {}{} after {} ms", attempt.instance,
                     attempt.address, attempt.io.connection_reused ? "used" : "new", attempt.io.bytes_written,
                     result_text(attempt.result), response, attempt.latency.count());
}

}  // namespace dunlinwing::proxy
