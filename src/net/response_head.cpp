#include "net/response_head.hpp"

#include <fmt/format.h>

#include <boost/beast/http/status.hpp>

namespace dunlinwing::net {
namespace http = boost::beast::http;

namespace {
/// Whether a header concerns the connection or the framing: the server generates these itself.
bool is_connection_header(std::string_view name) {
  for (const char* own : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"})
    if (base::equals_ignore_case(name, own)) return true;
  return false;
}

void append_header(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

void append_content_length(std::string& head, const base::Response& response, bool is_head_request) {
  const bool without_body = has_no_body(response.status);
  const auto stated = is_head_request || response.status == 304
                          ? base::header(response.headers, "Content-Length")
                          : std::string();
  if (!stated.empty())
    append_header(head, "Content-Length", stated);
  else if (!without_body && !(is_head_request && response.body.empty()))  // HEAD: length unknown
    append_header(head, "Content-Length", fmt::format_int(response.body.size()).c_str());
}

}  // namespace

bool has_no_body(int status) { return status == 204 || status == 304 || status / 100 == 1; }

std::string response_head(const base::Response& response, const ResponseContext& context,
                          const HttpLimits& limits) {
  constexpr size_t kOwnHeaders = 128;  // bytes
  size_t bytes = kOwnHeaders;
  for (const auto& [name, value] : response.headers) bytes += name.size() + value.size() + 4;
  std::string head;
  head.reserve(bytes);
  const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
  fmt::format_to(std::back_inserter(head), "HTTP/1.1 {} {}\r\n", response.status,
                 std::string_view(reason.data(), reason.size()));
  for (const auto& [name, value] : response.headers)
    if (!is_connection_header(name)) append_header(head, name, value);
  append_content_length(head, response, context.is_head_request);
  if (!context.keep_alive)
    append_header(head, "Connection", "close");
  else if (context.version < 11)
    append_header(head, "Connection", "keep-alive");
  if (context.keep_alive && limits.advertise_idle && limits.idle_timeout >= Duration(1000))
    append_header(head, "Keep-Alive", fmt::format("timeout={}", limits.idle_timeout.count() / 1000));
  return head += "\r\n";
}

}  // namespace dunlinwing::net
